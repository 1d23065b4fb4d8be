"""The peer : table service, object store and instance list."""
