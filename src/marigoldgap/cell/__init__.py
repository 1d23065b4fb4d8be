"""Scheduling of one cell of workers by an elected leader."""
