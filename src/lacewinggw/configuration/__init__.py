"""The configuration log: its rows in the platform's store, and the copy in each process."""
