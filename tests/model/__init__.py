"""Model check: plays random orders of events on a simulated cell."""
