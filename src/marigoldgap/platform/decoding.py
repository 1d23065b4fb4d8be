"""Type-checked access to the fields of JSON messages of the platform."""

from __future__ import annotations

from typing import Any

from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.cell import model


class FormatError(errors.InvalidRequestError):
    """A message lacks a required field or has a field of the wrong type."""

    code = "format-invalid"


def decode_object(content: bytes) -> dict[str, Any]:
    """Decodes a JSON object.

    Raises:
        FormatError: The bytes are not a JSON object.
    """
    return json_object.decode(content, FormatError)


def text(fields: dict[str, Any], name: str, default: str | None = None) -> str:
    """Returns a string field.

    Raises:
        FormatError: The field is missing and there is no default, or its
            value is not a string.
    """
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise FormatError(
            f"field {name!r} is missing or not a string:"
            f" {type(value).__name__}"
        )
    return value


def number(
    fields: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Returns a non-negative number.

    Raises:
        FormatError: The field is missing and there is no default, or its
            value is not a number from 0 to `model.MAX_INTEGER`.
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FormatError(
            f"field {name!r} is missing or not a number:"
            f" {type(value).__name__}"
        )
    if not 0 <= value <= model.MAX_INTEGER:
        raise FormatError(f"field {name!r} is negative or too large")
    return value


def integer(
    fields: dict[str, Any], name: str, default: int | None = None
) -> int:
    """Returns a non-negative integer.

    Raises:
        FormatError: The field is missing and there is no default, or its
            value is not an integer from 0 to `model.MAX_INTEGER`.
    """
    value = number(fields, name, default)
    if value != int(value):
        raise FormatError(f"field {name!r} is not an integer: {value!r}")
    return int(value)


def flag(fields: dict[str, Any], name: str) -> bool:
    """Returns a Boolean field; a missing field is false.

    Raises:
        FormatError: The value is not a Boolean.
    """
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise FormatError(
            f"field {name!r} is not a Boolean: {type(value).__name__}"
        )
    return value


def objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Returns a list of objects; a missing field is an empty list.

    Raises:
        FormatError: The value is not a list of objects.
    """
    value = fields.get(name, [])
    if not isinstance(value, list):
        raise FormatError(f"field {name!r} is not a list")
    for item in value:
        if not isinstance(item, dict):
            raise FormatError(
                f"field {name!r} has an item that is not an object"
            )
    return value


def texts(fields: dict[str, Any], name: str) -> tuple[str, ...]:
    """Returns a list of strings; a missing field is an empty list.

    Raises:
        FormatError: The value is not a list of strings.
    """
    value = fields.get(name, [])
    if not isinstance(value, list):
        raise FormatError(f"field {name!r} is not a list")
    for item in value:
        if not isinstance(item, str):
            raise FormatError(
                f"field {name!r} has an item that is not a string"
            )
    return tuple(value)
