"""The peer : HTTP client, leases and the fleet of owned workers."""
