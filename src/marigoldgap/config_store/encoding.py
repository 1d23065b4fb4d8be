"""Encodes and decodes versions, as row values and as bytes for peers."""

from __future__ import annotations

from collections.abc import Sequence
import json
from typing import Any
import zlib

from marigoldgap import errors
from marigoldgap.config_store import model

# Bounds the memory that compressed bytes can expand to (16 MiB). A snapshot
# with the longest rules text and some ten thousand keys fits.
_MAX_DECODED_BYTES = 16_777_216


def to_value(change: model.ConfigVersion) -> dict[str, Any]:
    """Returns the row value of a version."""
    return change._asdict()


def from_value(value: Any) -> model.ConfigVersion:
    """Returns the version that a row value holds.

    Raises:
        errors.ProtocolError: The value is not a version.
    """
    try:
        change = model.ConfigVersion(**value)
    except TypeError as error:
        raise errors.ProtocolError(f"not a version: {error}") from error
    if not isinstance(change.version, int) or change.version < 1:
        raise errors.ProtocolError(f"bad version number {change.version!r}")
    return change


def encode(versions: Sequence[model.ConfigVersion]) -> bytes:
    """Returns versions as zlib-compressed JSON for peers."""
    values = [to_value(change) for change in versions]
    return zlib.compress(json.dumps(values, separators=(",", ":")).encode())


def decode(data: bytes) -> tuple[model.ConfigVersion, ...]:
    """Returns the versions that a peer sent.

    Raises:
        errors.ProtocolError: The bytes are malformed, are truncated or
            decompress to too many bytes.
    """
    stream = zlib.decompressobj()
    try:
        plain = stream.decompress(data, _MAX_DECODED_BYTES)
        if not stream.eof:
            raise ValueError("too long or cut short")
        values = json.loads(plain)
    except (zlib.error, ValueError, RecursionError) as error:
        raise errors.ProtocolError(f"bad versions: {error}") from error
    if not isinstance(values, list):
        raise errors.ProtocolError("versions are not a list")
    return tuple(from_value(value) for value in values)
