"""Settings of one entry instance: model, loader and validation."""
