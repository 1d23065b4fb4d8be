"""HTTP API for operators, and the client that the commands use."""
