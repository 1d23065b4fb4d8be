"""Pure scheduling decisions: no I/O, time and random source are passed in."""
