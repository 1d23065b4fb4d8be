"""Parses bodies and query parameters of operators' requests."""

from __future__ import annotations

import json
from typing import Any

from starlette import requests

from marigoldgap import errors

# Twice the maximum length of a rules text, as JSON escapes some characters.
_MAX_BODY_BYTES = 2_097_152
_MAX_AUTHOR_LENGTH = 100


async def read_object(request: requests.Request) -> dict[str, Any]:
    """Reads the body and returns its JSON object.

    Raises:
        errors.InvalidRequestError: The body is too long or not a JSON object.
    """
    body = b""
    async for chunk in request.stream():
        body += chunk
        if len(body) > _MAX_BODY_BYTES:
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
    """Returns a string field of the body."""
    value = values.get(name)
    if not isinstance(value, str):
        raise errors.InvalidRequestError(f"'{name}' must be a string")
    return value


def number_field(values: dict[str, Any], name: str) -> int:
    """Returns a non-negative integer field of the body."""
    value = values.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise errors.InvalidRequestError(f"'{name}' must be a whole number")
    return value


def author_field(values: dict[str, Any]) -> str:
    """Returns the author of a change.

    Only printable characters are accepted, because the author is shown on
    the terminals of other operators.
    """
    author = text_field(values, "author").strip()
    if (
        not author
        or len(author) > _MAX_AUTHOR_LENGTH
        or not author.isprintable()
    ):
        raise errors.InvalidRequestError(
            "'author' must name the person, with at most 100 characters"
        )
    return author


def number_parameter(
    request: requests.Request, name: str, default: int, highest: int
) -> int:
    """Returns a non-negative integer of the query, at most `highest`.

    Only the first 19 digits are read, which limits the size of the integer.

    Args:
        request: The request.
        name: Name of the query parameter.
        default: Value if the parameter is missing.
        highest: Upper limit of the result.
    """
    text = request.query_params.get(name, str(default))
    if not text.isascii() or not text.isdigit():
        raise errors.InvalidRequestError(f"'{name}' must be a whole number")
    return min(int(text[:19]), highest)
