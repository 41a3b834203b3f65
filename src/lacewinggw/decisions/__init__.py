"""Pure policy: state and events in, actions out; no I/O and no clock of its own."""
