"""Adapter to the target platform: wire names, formats and calls only."""
