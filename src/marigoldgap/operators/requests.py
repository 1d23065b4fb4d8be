"""Reads bodies and parameters of operators' requests."""

from __future__ import annotations

import json
from typing import Any

from starlette import requests

from marigoldgap import errors

# Twice the longest rules text, which JSON may escape.
_LARGEST_BODY_BYTES = 2_097_152
_LONGEST_AUTHOR = 100


async def read_object(request: requests.Request) -> dict[str, Any]:
    """Returns the JSON object in the body.

    Raises:
        errors.InvalidRequestError: It is none or too long.
    """
    body = b""
    async for chunk in request.stream():
        body += chunk
        if len(body) > _LARGEST_BODY_BYTES:
            raise errors.InvalidRequestError("the body is too long")
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidRequestError(
            f"the body is not JSON: {error}"
        ) from error
    if not isinstance(value, dict):
        raise errors.InvalidRequestError("the body is not a JSON object")
    return value


def text_field(values: dict[str, Any], name: str) -> str:
    """Returns a string of the body."""
    value = values.get(name)
    if not isinstance(value, str):
        raise errors.InvalidRequestError(f"'{name}' must be a string")
    return value


def number_field(values: dict[str, Any], name: str) -> int:
    """Returns a whole number of the body."""
    value = values.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise errors.InvalidRequestError(f"'{name}' must be a whole number")
    return value


def author_field(values: dict[str, Any]) -> str:
    """Returns the author; it is shown on terminals of other operators."""
    author = text_field(values, "author").strip()
    if not author or len(author) > _LONGEST_AUTHOR or not author.isprintable():
        raise errors.InvalidRequestError(
            "'author' must name the person, with at most 100 characters"
        )
    return author


def number_parameter(
    request: requests.Request, name: str, default: int, highest: int
) -> int:
    """Returns a number of the query, bounded by `highest`."""
    text = request.query_params.get(name, str(default))
    if not text.isascii() or not text.isdigit():
        raise errors.InvalidRequestError(f"'{name}' must be a whole number")
    return min(int(text[:19]), highest)
