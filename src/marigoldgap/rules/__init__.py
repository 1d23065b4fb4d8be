"""The rules text: parser, model, differences and preview."""
