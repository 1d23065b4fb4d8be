"""Connections that never deliver a response to the wrong exchange.

`GuardedConnection` works around these faults of aiosonic, each of which can
give a caller a wrong or partial response, or execute its request twice:

- After a failed exchange, a connection returns to the pool open if an earlier
  exchange on it succeeded; the late response is then read as the response to
  the next request.
- A connection that the server closed while it was idle is reused, because the
  transport stays half open after the end of the stream.
- A request with an idempotent method is sent again when a reused connection
  breaks; here each request is sent at most once.
"""

from __future__ import annotations

from collections.abc import Callable
import contextvars
import socket
from typing import Any

from aiosonic import connection as aiosonic_connection
from aiosonic import pools

from marigoldgap import errors

# Detects a dead host in 5 + 3 * 2 = 11 s, less than the 12.5 s after which a
# worker without an owner has certainly stopped its job tasks.
_KEEPALIVE_IDLE_S = 5
_KEEPALIVE_INTERVAL_S = 2
_KEEPALIVE_PROBES = 3
_UNACKNOWLEDGED_LIMIT_MS = 11_000
# "HTTP/1.1 200 OK" with its line break and the empty line after the headers.
_STATUS_LINE_BYTES = 19
# The colon, the space and the line break of a header.
_HEADER_EXTRA_BYTES = 4

BeforeSend = Callable[[], None]


class HttpTraffic:
    """Counts exchanges and their bytes, including HTTP headers.

    Bytes of TCP, IP and chunk headers are not counted.
    """

    def __init__(self) -> None:
        self.exchanges = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    def count_received(self, response: Any, body: bytes) -> None:
        """Counts a complete response."""
        self.exchanges += 1
        self.bytes_received += _STATUS_LINE_BYTES + len(body)
        for name, text in response.raw_headers:
            self.bytes_received += len(name) + len(text) + _HEADER_EXTRA_BYTES


class Attempt:
    """Tracks one exchange: whether it was sent, and on which connection.

    Args:
        before_send: Called immediately before the first byte is written.
        traffic: Counts the bytes that are written.
    """

    def __init__(
        self, before_send: BeforeSend | None, traffic: HttpTraffic
    ) -> None:
        self._before_send = before_send
        self._traffic = traffic
        self._connection: GuardedConnection | None = None
        self._writer: Any = None

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have been sent."""
        return self._connection is not None

    def begin_send(self, connection: GuardedConnection) -> None:
        """Calls `before_send` before the first byte is sent.

        Raises:
            OutcomeUnknownError: The library tries to send the request again
                on another stream after the first one was lost.
        """
        if self.sent:
            if connection.writer is not self._writer:
                raise errors.OutcomeUnknownError("the connection was lost")
            return
        if self._before_send is not None:
            self._before_send()
        self._connection = connection
        self._writer = connection.writer

    def count_sent(self, size: int) -> None:
        """Counts bytes that are written to the connection."""
        self._traffic.bytes_sent += size

    def discard_connection(self) -> None:
        """Closes the connection so that it is not reused."""
        if self._connection is not None:
            self._connection.close()


current_attempt: contextvars.ContextVar[Attempt | None] = (
    contextvars.ContextVar("attempt", default=None)
)


class GuardedConnection(aiosonic_connection.Connection):
    """Connection that is reused only if it is open and has no unread bytes.

    Written data is sent when the response is first read, so that headers and
    body go out in one system call and one packet, which wakes the server once.
    """

    def __init__(self, pool: pools.BasePool) -> None:
        super().__init__(pool)
        self._unsent: list[bytes] = []

    def reuse(self, urlparsed: Any, verify: bool) -> bool:
        """Returns whether the open connection can carry another exchange."""
        if self.reader is not None and self._is_stale():
            self.close()
        return bool(super().reuse(urlparsed, verify))

    def _is_stale(self) -> bool:
        # Bytes that arrive between exchanges are no response to any request.
        unread = getattr(self.reader, "_buffer", b"")
        return bool(unread) or self.reader.at_eof()

    async def connect(self, *arguments: Any, **options: Any) -> None:
        """Opens the connection and enables the detection of dead hosts."""
        await super().connect(*arguments, **options)
        if not self.reused and self.writer is not None:
            _detect_dead_host(self.writer.get_extra_info("socket"))

    def write(self, data: bytes) -> None:
        """Buffers the data until the response is first read."""
        self._unsent.append(data)

    async def readuntil(self, separator: bytes = b"\n") -> Any:
        """Sends the buffered data, then reads the start of the response."""
        self._send_unsent()
        return await super().readuntil(separator)

    def close(self) -> None:
        """Closes the connection and discards unsent data."""
        self._unsent.clear()
        super().close()

    def _send_unsent(self) -> None:
        """Sends the buffered data unless `before_send` raises an error."""
        if not self._unsent:
            return
        attempt = current_attempt.get()
        data = b"".join(self._unsent)
        if attempt is not None:
            attempt.begin_send(self)
            attempt.count_sent(len(data))
        self._unsent.clear()
        super().write(data)

    async def __aexit__(
        self, exception_type: Any, exception: Any, traceback: Any
    ) -> None:
        """Releases the connection to the pool; closes it after a failure."""
        if exception_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(exception_type, exception, traceback)


def _detect_dead_host(connected: socket.socket) -> None:
    """Makes the kernel fail the connection when the other host is dead."""
    tcp = socket.IPPROTO_TCP
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    connected.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    connected.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    connected.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_LIMIT_MS)
