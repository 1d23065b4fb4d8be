"""Hands the configuration on between the instances of an availability zone."""

from __future__ import annotations

import base64
import binascii
import math
from typing import Any
from typing import NamedTuple
import zlib

from marigoldgap import errors
from marigoldgap import json_object

# Time for which a reader holds a call until the store confirms the configuration
# again: longer than the wait of its own calls, which is 1 s.
HOLD_S = 1.2
# Largest configuration that is accepted, in bytes: more than a row of the store.
_MAX_CONTENT_BYTES = 8 * 1_024 * 1_024
# Fast, and nearly as small for a text of similar queues.
_COMPRESSION_LEVEL = 1


class RelayError(errors.MarigoldgapError):
    """The answer of a reader is malformed."""

    code = "relay-invalid"


class NotReaderError(errors.OverloadedError):
    """The called instance does not follow the store itself."""

    code = "not-reader"


class RelayedRows(NamedTuple):
    """The operator's rows as a reader knows them.

    Attributes:
        store_version: Version of the store up to which they are known.
        confirmed_after_s: Time, in seconds after the request arrived, at which the
            store confirmed them; negative if before.
        version: Version of the configuration.
        evacuations: Key and zone of each evacuation.
        content: Content of the configuration row; None if the asking instance has
            this version.
    """

    store_version: int
    confirmed_after_s: float
    version: int
    evacuations: tuple[tuple[str, str], ...]
    content: bytes | None


class Packer:
    """Compresses the latest content once for all instances that ask."""

    def __init__(self) -> None:
        self._version = 0
        self._packed = ""

    def pack(self, version: int, content: bytes) -> str:
        """Returns the content of a version as text."""
        if version != self._version:
            compressed = zlib.compress(content, _COMPRESSION_LEVEL)
            self._packed = base64.b64encode(compressed).decode()
            self._version = version
        return self._packed


def encode(rows: RelayedRows, packer: Packer) -> dict[str, Any]:
    """Returns the fields of an answer."""
    fields: dict[str, Any] = {
        "store_version": rows.store_version,
        "confirmed_after_s": round(rows.confirmed_after_s, 4),
        "version": rows.version,
        "evacuations": rows.evacuations,
    }
    if rows.content is not None:
        fields["content"] = packer.pack(rows.version, rows.content)
    return fields


def decode(body: bytes) -> RelayedRows:
    """Decodes an answer.

    Raises:
        RelayError: It is malformed or too large.
    """
    fields = json_object.decode(body, RelayError)
    try:
        confirmed_after_s = float(fields["confirmed_after_s"])
        if not math.isfinite(confirmed_after_s):
            raise ValueError("a time is not finite")
        return RelayedRows(
            int(fields["store_version"]),
            confirmed_after_s,
            int(fields["version"]),
            tuple((str(key), str(zone)) for key, zone in fields["evacuations"]),
            _unpack(fields.get("content")),
        )
    except (
        binascii.Error,
        LookupError,
        OverflowError,
        TypeError,
        ValueError,
        zlib.error,
    ) as error:
        raise RelayError(f"unusable answer of a reader: {error!r}") from error


def _unpack(packed: Any) -> bytes | None:
    if packed is None:
        return None
    stream = zlib.decompressobj()
    content = stream.decompress(base64.b64decode(packed), _MAX_CONTENT_BYTES)
    if not stream.eof:
        raise RelayError("the relayed configuration is cut short or too large")
    return content
