"""The entry of a declared fleet, which sends requests directly to targets."""
