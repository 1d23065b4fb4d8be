"""Load and experiment tool that runs entry instances on the stand-ins."""
