"""A serving process: its settings, its parts, its start and stop."""
