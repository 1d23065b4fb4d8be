"""The commands, with one module and one class for each."""
