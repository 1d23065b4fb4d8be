"""Scheduling decisions without I/O; callers pass the time and randomness."""
