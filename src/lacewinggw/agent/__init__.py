"""The agent process: the only way to the target on its host."""
