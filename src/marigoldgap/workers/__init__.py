"""Owned workers: HTTP client, leases and the fleet that keeps them."""
