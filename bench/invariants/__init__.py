"""Checks of the invariants of section 1.2, one for each verdict field."""
