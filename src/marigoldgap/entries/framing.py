"""Length-prefixed frames on a byte stream."""

from __future__ import annotations

import asyncio
import struct

from marigoldgap import errors

_LENGTH = struct.Struct(">I")

# Bound before the peer has proved that it knows the cluster secret.
HANDSHAKE_LIMIT_BYTES = 4_096

# Room for the fields of a message besides the body of a request.
MESSAGE_OVERHEAD_BYTES = 1_048_576


def frame(data: bytes) -> bytes:
    """Returns the data with its length in front."""
    return _LENGTH.pack(len(data)) + data


async def read_frame(reader: asyncio.StreamReader, limit: int) -> bytes:
    """Reads one frame.

    Args:
        reader: The stream.
        limit: Largest accepted length in bytes.

    Raises:
        errors.ProtocolError: The frame is empty or longer than the limit.
        EOFError: The stream ended.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if not 0 < length <= limit:
        raise errors.ProtocolError(
            f"frame of {length} bytes; the limit is {limit}"
        )
    return await reader.readexactly(length)
