"""Metric names and a client that never blocks."""
