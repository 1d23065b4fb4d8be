"""The faults of section 1.4, grouped by their target."""
