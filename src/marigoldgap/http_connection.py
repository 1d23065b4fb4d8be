"""Connections that hand no answer to the wrong exchange.

The class here closes these gaps of aiosonic, each of which could give a caller
the wrong or a partial answer, or run its request twice:

- A connection whose exchange failed goes back to the pool open if an earlier
  exchange on it succeeded; the late answer would then be read as the answer
  to the next request.
- A connection that the server closed while it was idle is still reused, since
  the transport stays half open after the end of the stream.
- A request of an idempotent method is sent again when a reused connection
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

# Detects a dead host in 5 + 3 * 2 = 11 s, below the certain lapse of 12.5 s.
_KEEPALIVE_IDLE_S = 5
_KEEPALIVE_INTERVAL_S = 2
_KEEPALIVE_PROBES = 3
_UNACKNOWLEDGED_LIMIT_MS = 11_000
# "HTTP/1.1 200 OK" with its line end and the empty line after the headers.
_STATUS_LINE_BYTES = 19
# The colon, the space and the line end of a header.
_HEADER_EXTRA_BYTES = 4

BeforeSend = Callable[[], None]


class HttpTraffic:
    """Bytes of exchanges, with headers but without those of TCP and IP.

    The length lines of answers in chunks are not counted.
    """

    def __init__(self) -> None:
        self.exchanges = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    def count_received(self, response: Any, body: bytes) -> None:
        """Counts a complete answer."""
        self.exchanges += 1
        self.bytes_received += _STATUS_LINE_BYTES + len(body)
        for name, text in response.raw_headers:
            self.bytes_received += len(name) + len(text) + _HEADER_EXTRA_BYTES


class Attempt:
    """Follows one exchange: whether it was sent, and on which connection.

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
        """Whether a byte of the request may have left."""
        return self._connection is not None

    def begin_send(self, connection: GuardedConnection) -> None:
        """Runs the check of the caller before the first byte.

        Raises:
            OutcomeUnknownError: The library sends the request again, on
                another stream, after the first one was lost.
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
        """Counts bytes that are handed to the connection."""
        self._traffic.bytes_sent += size

    def discard_connection(self) -> None:
        """Closes the connection so that no later exchange can use it."""
        if self._connection is not None:
            self._connection.close()


current_attempt: contextvars.ContextVar[Attempt | None] = (
    contextvars.ContextVar("attempt", default=None)
)


class GuardedConnection(aiosonic_connection.Connection):
    """Connection that is reused only if it is clean and still open.

    What is written is sent when the answer is first read: head and body in one
    system call and one packet, which wakes the server once.
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
        # Bytes that arrive between exchanges belong to no request.
        unread = getattr(self.reader, "_buffer", b"")
        return bool(unread) or self.reader.at_eof()

    async def connect(self, *arguments: Any, **options: Any) -> None:
        """Opens the connection and turns on detection of dead hosts."""
        await super().connect(*arguments, **options)
        if not self.reused and self.writer is not None:
            _detect_dead_host(self.writer.get_extra_info("socket"))

    def write(self, data: bytes) -> None:
        """Keeps the bytes until the answer is read."""
        self._unsent.append(data)

    async def readuntil(self, separator: bytes = b"\n") -> Any:
        """Sends what was written, then reads the start of the answer."""
        self._send_unsent()
        return await super().readuntil(separator)

    def close(self) -> None:
        """Closes the connection and drops what was not sent."""
        self._unsent.clear()
        super().close()

    def _send_unsent(self) -> None:
        """Sends after the check of the current exchange has passed."""
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
        """Closes the connection after any failure, then releases it."""
        if exception_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(exception_type, exception, traceback)


def _detect_dead_host(connected: socket.socket) -> None:
    """Makes the kernel fail the connection when the other host is gone."""
    tcp = socket.IPPROTO_TCP
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    connected.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    connected.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    connected.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_LIMIT_MS)
