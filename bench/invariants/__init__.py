"""Checks of the invariants of section 1.2, one function for each field."""
