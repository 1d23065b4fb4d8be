"""Assembles, runs and gracefully stops an entry instance."""
