"""The agent of a declared fleet: it brings weights to the target on its host."""
