"""Versions as row values and as bytes for peers."""

from __future__ import annotations

from collections.abc import Sequence
import json
from typing import Any
import zlib

from marigoldgap import errors
from marigoldgap.config_store import model

# A snapshot with the longest rules text and some ten thousand keys fits.
_LARGEST_DECODED_BYTES = 16_777_216


def to_value(change: model.ConfigVersion) -> dict[str, Any]:
    """Returns a version as the value of a row."""
    return change._asdict()


def from_value(value: Any) -> model.ConfigVersion:
    """Reads a version from the value of a row.

    Raises:
        errors.ProtocolError: The value is no version.
    """
    try:
        change = model.ConfigVersion(**value)
    except TypeError as error:
        raise errors.ProtocolError(f"not a version: {error}") from error
    if not isinstance(change.version, int) or change.version < 1:
        raise errors.ProtocolError(f"bad version number {change.version!r}")
    return change


def encode(versions: Sequence[model.ConfigVersion]) -> bytes:
    """Returns versions as compressed bytes for peers."""
    values = [to_value(change) for change in versions]
    return zlib.compress(json.dumps(values, separators=(",", ":")).encode())


def decode(data: bytes) -> tuple[model.ConfigVersion, ...]:
    """Reads versions that a peer sent.

    Raises:
        errors.ProtocolError: The bytes are no versions or too many.
    """
    stream = zlib.decompressobj()
    try:
        plain = stream.decompress(data, _LARGEST_DECODED_BYTES)
        if not stream.eof:
            raise ValueError("too long or cut short")
        values = json.loads(plain)
    except (zlib.error, ValueError, RecursionError) as error:
        raise errors.ProtocolError(f"bad versions: {error}") from error
    if not isinstance(values, list):
        raise errors.ProtocolError("versions are not a list")
    return tuple(from_value(value) for value in values)
