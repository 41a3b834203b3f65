"""Networks, HTTP and frames: how processes talk."""
