"""Composition, startup and shutdown of a serving process."""
