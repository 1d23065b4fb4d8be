"""Detects whether an HTTP response was transferred completely.

The connection must carry one response.
"""

from __future__ import annotations

import re

_HEAD_END = b"\r\n\r\n"
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_CHUNKED = re.compile(rb"\r\ntransfer-encoding: *chunked", re.IGNORECASE)
_LAST_CHUNK = b"0\r\n\r\n"


class ResponseTracker:
    """Tracks the transfer of one HTTP response."""

    def __init__(self) -> None:
        self._head = b""
        self._missing: int | None = None
        self._tail = b""

    @property
    def complete(self) -> bool:
        """Whether the whole response was transferred."""
        if self._missing is not None:
            return self._missing <= 0
        return bool(_CHUNKED.search(self._head)) and self._tail.endswith(
            _LAST_CHUNK
        )

    def feed(self, data: bytes) -> None:
        """Processes the next bytes of the response."""
        if _HEAD_END in self._head:
            self._add_body(data)
            return
        self._head += data
        head, found, body = self._head.partition(_HEAD_END)
        if not found:
            return
        self._head = head + found
        length = _LENGTH.search(head)
        if length:
            self._missing = int(length.group(1))
        self._add_body(body)

    def _add_body(self, data: bytes) -> None:
        if self._missing is not None:
            self._missing -= len(data)
        self._tail = (self._tail + data)[-len(_LAST_CHUNK) :]
