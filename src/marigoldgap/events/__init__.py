"""Typed events, the hybrid logical clock and the time line."""
