"""Length-prefixed frames on a byte stream."""

from __future__ import annotations

import asyncio
import struct

from marigoldgap import errors

_LENGTH = struct.Struct(">I")

# Applies until the peer has proved that it knows the cluster secret.
HANDSHAKE_LIMIT_BYTES = 4_096

# Allowance for all fields of a message except the body of a request.
MESSAGE_OVERHEAD_BYTES = 1_048_576


def frame(data: bytes) -> bytes:
    """Returns the data prefixed with its length."""
    return _LENGTH.pack(len(data)) + data


async def read_frame(reader: asyncio.StreamReader, limit: int) -> bytes:
    """Reads one frame.

    Args:
        reader: The stream.
        limit: Largest accepted length in bytes.

    Raises:
        errors.ProtocolError: The frame is empty or longer than the limit.
        EOFError: The stream ended before the end of the frame.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if not 0 < length <= limit:
        raise errors.ProtocolError(
            f"frame of {length} bytes; must be between 1 and {limit} bytes"
        )
    return await reader.readexactly(length)
