"""Reads the requests of a connection and bounds what is stored of them.

Bytes are counted as they arrive, since the parser stores an element of a head
without a limit until it is complete. Designed for any input; what one connection
makes the reader hold is at most a head, a body and a few read requests.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import httptools

from marigoldgap.web import limits as web_limits
from marigoldgap.web import messages

# Requests on one connection that may wait for the response to an earlier one.
MAX_PIPELINED_REQUESTS = 16
# Headers of a request; each takes memory beyond its bytes.
_MAX_HEADERS = 256
# Memory of a header beyond its bytes.
_HEADER_OVERHEAD_BYTES = 256
# The parser is given this much at a time, so that it stores no more of an
# unfinished element without being checked.
_SLICE_BYTES = 4_096
# The same within a body, of which the parser stores only trailers.
_BODY_SLICE_BYTES = 65_536


class ReadRequest(NamedTuple):
    """A complete request.

    Attributes:
        request: The request.
        keep_alive: Whether the client keeps the connection after it.
        held_bytes: Bytes that it takes.
    """

    request: messages.Request
    keep_alive: bool
    held_bytes: int


class Rejection(NamedTuple):
    """Why the rest of the connection is not read.

    Attributes:
        status: Status of the response.
        limit: Name of the limit in metrics.
        reason: Explanation for the client.
    """

    status: int
    limit: str
    reason: str


class RequestReader:
    """Parses the bytes of a connection.

    Args:
        limits: Returns the limits in force.

    Attributes:
        complete: Requests that were read and not yet taken, oldest first.
        rejection: Set once what follows the complete requests is invalid;
            nothing more is read after it.
        is_reading: Whether a part of a request has arrived.
        limits_count: Whether more than `MAX_PIPELINED_REQUESTS` complete
            requests are rejected; otherwise whoever feeds the reader paces it.
    """

    def __init__(self, limits: Callable[[], web_limits.HttpLimits]) -> None:
        self.complete: collections.deque[ReadRequest] = collections.deque()
        self.rejection: Rejection | None = None
        self.is_reading = False
        self.limits_count = True
        self._limits = limits
        self._parser: Any = httptools.HttpRequestParser(self)
        # Bytes since the latest element of a head, to the size of a slice.
        self._unfinished_bytes = 0
        # Whether the parser has reported an element of the present slice.
        self._has_progressed = False
        self._message_count = 0
        self._reset()

    @property
    def is_in_body(self) -> bool:
        """Whether a part of a request has arrived, and its head is complete."""
        return self.is_reading and self._is_head_complete

    @property
    def partial_bytes(self) -> int:
        """Bytes that the request which is being read takes."""
        return (
            self._head_bytes
            + self._header_count * _HEADER_OVERHEAD_BYTES
            + self._unfinished_bytes
            + self._framing_bytes
            + len(self._body)
        )

    @property
    def complete_bytes(self) -> int:
        """Bytes that the complete requests take."""
        if not self.complete:
            return 0
        return sum(each.held_bytes for each in self.complete)

    def feed(self, data: bytes) -> None:
        """Parses received bytes; later ones are ignored after a rejection."""
        view = memoryview(data)
        while view and self.rejection is None:
            size = _BODY_SLICE_BYTES if self.is_in_body else _SLICE_BYTES
            self._feed_slice(view[:size])
            view = view[size:]

    def reject(self, status: int, limit: str, reason: str) -> None:
        """Stops reading and forgets what was read of the last request."""
        if self.rejection is not None:
            return
        self.rejection = Rejection(status, limit, reason)
        self.is_reading = False
        self._unfinished_bytes = 0
        # The parser may hold an unfinished element.
        self._parser = None
        self._reset()

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        if self.rejection is not None:
            return
        self._has_progressed = True
        self._message_count += 1
        self.is_reading = True
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Adds a part of the request target."""
        if self.rejection is not None:
            return
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers are counted as framing and left out."""
        if self._is_head_complete or self.rejection is not None:
            return
        self._header_count += 1
        self._count_head_bytes(len(name) + len(value))
        if self._header_count > _MAX_HEADERS:
            self.reject(431, "header-count", "there are too many headers")
        if self.rejection is None:
            self._headers[name.decode("latin-1").lower()] = value.decode(
                "latin-1"
            )

    def on_headers_complete(self) -> None:
        """Notes that the body follows."""
        if self.rejection is not None:
            return
        self._has_progressed = True
        self._is_head_complete = True

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        if self.rejection is not None:
            return
        if len(self._body) + len(body) > self._limits().body_bytes:
            self.reject(413, "body-bytes", "the body is too large")
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        if self.rejection is not None:
            return
        self._has_progressed = True
        if self.limits_count and len(self.complete) >= MAX_PIPELINED_REQUESTS:
            self.reject(
                429,
                "pipelined-requests",
                "too many requests ahead on one connection",
            )
            return
        self.is_reading = False
        request = messages.Request(
            self._parser.get_method().decode("latin-1"),
            self._url.decode("latin-1"),
            self._headers,
            bytes(self._body),
        )
        held_bytes = (
            self._head_bytes
            + self._header_count * _HEADER_OVERHEAD_BYTES
            + len(self._body)
        )
        keep_alive = self._parser.should_keep_alive()
        self.complete.append(ReadRequest(request, keep_alive, held_bytes))
        self._reset()

    def _feed_slice(self, data: memoryview) -> None:
        message, body_bytes = self._message_count, len(self._body)
        is_in_body = self.is_in_body
        self._has_progressed = False
        # Empty lines before a request count as well.
        self.is_reading = True
        parser = self._parser
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400, "malformed", "upgrade is not supported")
        except httptools.HttpParserError as error:
            self.reject(400, "malformed", f"malformed request: {error}")
        if self.rejection is not None:
            return
        # Elements that end within a slice leave at most a slice uncounted.
        allowed = self._limits().header_bytes + _SLICE_BYTES
        if is_in_body and self.is_in_body and message == self._message_count:
            self._unfinished_bytes = 0
            self._framing_bytes += len(data) - (len(self._body) - body_bytes)
            # Chunks of 64 bytes are usual; each has six bytes of framing or more.
            if self._framing_bytes > allowed + len(self._body):
                self.reject(
                    431, "framing-bytes", "the framing of the body is too large"
                )
            return
        if self._has_progressed:
            self._unfinished_bytes = 0
            return
        self._unfinished_bytes += len(data)
        if self._unfinished_bytes > allowed:
            self.reject(431, "header-bytes", "the headers are too large")

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._is_head_complete = False
        self._head_bytes = 0
        self._header_count = 0
        self._framing_bytes = 0

    def _count_head_bytes(self, size: int) -> None:
        self._has_progressed = True
        self._head_bytes += size
        if self._head_bytes > self._limits().header_bytes:
            self.reject(431, "header-bytes", "the headers are too large")
