"""Scheduling of one cell of workers by one elected instance."""
