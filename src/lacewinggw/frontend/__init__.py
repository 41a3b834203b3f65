"""The entry of a declared fleet: requests go straight to targets."""
