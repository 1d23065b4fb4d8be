"""Commands of the load tool, one module and class each."""
