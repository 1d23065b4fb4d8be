"""Clients of the platform: table service, object store, instance list."""
