"""Builds, connects, runs and stops an entry instance."""
