"""Networks, HTTP and binary frames: communication between processes."""
