"""The entry process: wires the decisions to callers, operators and peers."""
