"""Stand-ins for the users' platform that follow its published protocol."""
