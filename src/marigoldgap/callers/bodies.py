"""Reads request bodies of bounded size."""

from __future__ import annotations

from starlette import requests

from marigoldgap import errors


class BodyTooLargeError(errors.InvalidRequestError):
    """The body exceeds the size in the settings."""

    code = "body-too-large"
    status = 413


async def read(request: requests.Request, largest: int) -> bytes:
    """Returns the whole body.

    Args:
        request: The request.
        largest: Size in bytes that a body may have.

    Raises:
        BodyTooLargeError: The body is larger; the rest is not read.
        starlette.requests.ClientDisconnect: The body was cut.
    """
    declared = request.headers.get("content-length", "")
    if declared.isdecimal() and int(declared) > largest:
        raise _too_large(largest)
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > largest:
            raise _too_large(largest)
        chunks.append(chunk)
    return chunks[0] if len(chunks) == 1 else b"".join(chunks)


def _too_large(largest: int) -> BodyTooLargeError:
    return BodyTooLargeError(f"a body has at most {largest} bytes")
