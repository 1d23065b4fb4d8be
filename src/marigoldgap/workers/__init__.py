"""The peer worker: HTTP client, leases and the fleet of owned workers."""
