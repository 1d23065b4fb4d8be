"""HTTP API for callers: requests and durable jobs."""
