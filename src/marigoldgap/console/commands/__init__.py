"""One module and one class for each command."""
