"""Test doubles, run as processes, for systems outside of the program."""
