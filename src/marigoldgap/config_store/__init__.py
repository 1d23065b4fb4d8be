"""Versioned configuration: rules and keys, stored in the table service."""
