"""Small separate processes that stand in for systems outside the program."""
