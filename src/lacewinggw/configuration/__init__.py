"""The configuration log: its rows in the platform's store, and the replica in each process."""
