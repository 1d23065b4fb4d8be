"""The faults of section 1.4, by what they act on."""
