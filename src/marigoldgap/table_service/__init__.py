"""The peer platform: table service, object store and instance list."""
