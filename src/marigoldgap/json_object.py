"""Encoding and decoding of compact JSON."""

from __future__ import annotations

import json
from typing import Any

from marigoldgap import errors


def encode(value: Any) -> bytes:
    """Returns the value as compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


def decode(
    content: bytes, error_type: type[errors.MarigoldgapError]
) -> dict[str, Any]:
    """Decodes a JSON object.

    Args:
        content: Encoded object.
        error_type: Error to raise if the content is not a JSON object.

    Raises:
        MarigoldgapError: An error of the given type.
    """
    try:
        value = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise error_type(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise error_type("not a JSON object")
    return value
