"""The peer `operator`: HTTP API and the client that commands use."""
