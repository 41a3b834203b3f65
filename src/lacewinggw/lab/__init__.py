"""Stand-ins, load, faults and experiments on loopback."""
