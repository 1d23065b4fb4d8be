"""Typed events, the hybrid logical clock and the timeline."""
