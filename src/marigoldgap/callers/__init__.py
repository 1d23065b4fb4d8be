"""The peer `caller`: HTTP API for requests and jobs."""
