"""Reads request bodies up to a maximum size."""

from __future__ import annotations

from starlette import requests

from marigoldgap import errors


class BodyTooLargeError(errors.InvalidRequestError):
    """The body exceeds the maximum size in the settings."""

    code = "body-too-large"
    status = 413


async def read(request: requests.Request, max_bytes: int) -> bytes:
    """Returns the complete body.

    Args:
        request: The request.
        max_bytes: Maximum size of the body in bytes.

    Raises:
        BodyTooLargeError: The body exceeds `max_bytes`; the rest is not read.
        starlette.requests.ClientDisconnect: The connection closed before
            the end of the body.
    """
    declared = request.headers.get("content-length", "")
    if declared.isdecimal() and int(declared) > max_bytes:
        raise _too_large(max_bytes)
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > max_bytes:
            raise _too_large(max_bytes)
        chunks.append(chunk)
    return chunks[0] if len(chunks) == 1 else b"".join(chunks)


def _too_large(max_bytes: int) -> BodyTooLargeError:
    return BodyTooLargeError(f"a body has at most {max_bytes} bytes")
