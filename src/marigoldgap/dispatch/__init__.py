"""Data plane: queueing, placement and forwarding of requests and tasks."""
