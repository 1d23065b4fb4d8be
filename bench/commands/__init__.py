"""One module and one class for each command of the tool."""
