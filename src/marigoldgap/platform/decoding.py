"""Reads fields of JSON from the platform with a check of their type."""

from __future__ import annotations

from typing import Any

from marigoldgap import errors
from marigoldgap import json_object


class FormatError(errors.InvalidRequestError):
    """A message of the platform lacks a field or holds another type."""

    code = "format-invalid"


def decode_object(content: bytes) -> dict[str, Any]:
    """Returns the JSON object.

    Raises:
        FormatError: The bytes are no JSON object.
    """
    return json_object.decode(content, FormatError)


def text(fields: dict[str, Any], name: str, default: str | None = None) -> str:
    """Returns a text field.

    Raises:
        FormatError: It is missing without a default, or no text.
    """
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise FormatError(f"{name} is not a text")
    return value


def number(
    fields: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Returns a number that is not negative.

    Raises:
        FormatError: It is missing without a default, or no such number.
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FormatError(f"{name} is not a number")
    if not 0 <= value < float("inf"):
        raise FormatError(f"{name} is out of range")
    return value


def integer(
    fields: dict[str, Any], name: str, default: int | None = None
) -> int:
    """Returns a whole number that is not negative.

    Raises:
        FormatError: It is missing without a default, or no such number.
    """
    value = number(fields, name, default)
    if value != int(value):
        raise FormatError(f"{name} is not a whole number")
    return int(value)


def flag(fields: dict[str, Any], name: str) -> bool:
    """Returns a truth value; it is false where the field is missing.

    Raises:
        FormatError: It holds something else.
    """
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise FormatError(f"{name} is not true or false")
    return value


def objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Returns a list of objects; it is empty where the field is missing.

    Raises:
        FormatError: It holds something else.
    """
    value = fields.get(name, [])
    if not isinstance(value, list):
        raise FormatError(f"{name} is not a list")
    for each in value:
        if not isinstance(each, dict):
            raise FormatError(f"{name} holds something that is no object")
    return value


def texts(fields: dict[str, Any], name: str) -> tuple[str, ...]:
    """Returns a list of texts; it is empty where the field is missing.

    Raises:
        FormatError: It holds something else.
    """
    value = fields.get(name, [])
    if not isinstance(value, list):
        raise FormatError(f"{name} is not a list")
    for each in value:
        if not isinstance(each, str):
            raise FormatError(f"{name} holds something that is no text")
    return tuple(value)
