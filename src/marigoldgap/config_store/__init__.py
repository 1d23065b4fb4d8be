"""Versions of rules and keys in the table service."""
