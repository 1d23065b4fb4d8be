"""HTTP exchange that reports whether a failed request may have been sent.

Built on aiosonic. The connection class here closes these gaps of the library,
each of which could hand a caller the wrong or a partial answer:

- A connection whose exchange failed goes back to the pool open if an earlier
  exchange on it succeeded; the late answer would then be read as the answer
  to the next request.
- A connection that the server closed while it was idle is still reused, since
  the transport stays half open after the end of the stream.
- An answer without a length is returned with an empty body.
- A request of an idempotent method is sent again when a reused connection
  breaks; here each request is sent at most once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextvars
import socket
from typing import Any
from typing import NamedTuple
from urllib import parse

import aiosonic
from aiosonic import connection as aiosonic_connection
from aiosonic import connectors
from aiosonic import pools
from aiosonic import timeout as aiosonic_timeout

from marigoldgap import errors

CONNECT_TIMEOUT_S = 1.0
# Servers commonly close idle connections after 5 s; closing earlier on this
# side avoids the race between the server's close and the next request.
IDLE_LIMIT_MS = 2_000
# Detects a dead host in 5 + 3 * 2 = 11 s, below the certain lapse of 12.5 s.
_KEEPALIVE_IDLE_S = 5
_KEEPALIVE_INTERVAL_S = 2
_KEEPALIVE_PROBES = 3
_UNACKNOWLEDGED_LIMIT_MS = 11_000
_FIRST_FINAL_STATUS = 200
# "HTTP/1.1 200 OK" with its line end and the empty line after the headers.
_STATUS_LINE_BYTES = 19
# The colon, the space and the line end of a header.
_HEADER_EXTRA_BYTES = 4
_BODILESS_STATUSES = frozenset({204, 304})
_DECODED_BY_LIBRARY = frozenset({"gzip", "deflate"})
_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length"}
)

BeforeSend = Callable[[], None]


class HttpAnswer(NamedTuple):
    """A complete answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


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


class _Attempt:
    """Follows one exchange: whether it was sent, and on which connection."""

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
        """Counts bytes that were handed to the connection."""
        self._traffic.bytes_sent += size

    def discard_connection(self) -> None:
        """Closes the connection so that no later exchange can use it."""
        if self._connection is not None:
            self._connection.close()


_attempt: contextvars.ContextVar[_Attempt | None] = contextvars.ContextVar(
    "attempt", default=None
)


class GuardedConnection(aiosonic_connection.Connection):
    """Connection that is reused only if it is clean and still open."""

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
        """Writes after the check of the current exchange has passed."""
        attempt = _attempt.get()
        if attempt is not None:
            attempt.begin_send(self)
            attempt.count_sent(len(data))
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


class HttpClient:
    """Sends each request at most once and returns whole answers only.

    Args:
        connections: Exchanges that may run side by side; more of them wait.
        traffic: Counts the bytes of all exchanges.
    """

    def __init__(
        self, connections: int, traffic: HttpTraffic | None = None
    ) -> None:
        self._traffic = traffic or HttpTraffic()
        pool = pools.PoolConfig(
            size=connections,
            max_conn_requests=None,
            max_conn_idle_ms=IDLE_LIMIT_MS,
        )
        # Without the library's own timeouts an exchange stays in the task of
        # its caller, which the context variable above relies on.
        timeouts = aiosonic_timeout.Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=None,
            pool_acquire=None,
            request_timeout=None,
        )
        connector = connectors.TCPConnector(
            pool_configs={":default": pool},
            timeouts=timeouts,
            connection_cls=GuardedConnection,
        )
        self._client = aiosonic.HTTPClient(connector=connector)

    async def exchange(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float | None = None,
        before_send: BeforeSend | None = None,
    ) -> HttpAnswer:
        """Sends one request and reads the complete answer.

        Args:
            method: HTTP method.
            address: `ip:port` of the server.
            path: Path and query, quoted.
            headers: Headers to send.
            body: Content to send.
            timeout_s: Limit for the whole exchange; None waits for the answer.
            before_send: Called immediately before the first byte is written;
                an error that it raises stops the exchange.

        Raises:
            ConnectFailedError: Nothing was sent.
            OutcomeUnknownError: The request may have been sent, but there is
                no complete answer.
            MarigoldgapError: Raised by `before_send`.
        """
        attempt = _Attempt(before_send, self._traffic)
        token = _attempt.set(attempt)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._send(method, address, path, headers, body)
        except errors.MarigoldgapError:
            attempt.discard_connection()
            raise
        except Exception as error:
            raise _failure(attempt, address, error) from error
        finally:
            _attempt.reset(token)

    async def close(self) -> None:
        """Closes idle connections; those in use close when they are done."""
        await self._client.aclose()

    async def _send(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str] | None,
        body: bytes,
    ) -> HttpAnswer:
        response = await self._client.request(
            f"http://{address}{path}",
            method=method,
            headers=dict(headers or {}),
            data=body,
        )
        _check_framing(response)
        content = await response.content()
        self._traffic.count_received(response, content)
        return HttpAnswer(
            response.status_code, _end_to_end_headers(response), content
        )


def quote(segment: str) -> str:
    """Returns the text as one segment of a URL path."""
    return parse.quote(segment, safe="")


def _failure(
    attempt: _Attempt, address: str, error: Exception
) -> errors.MarigoldgapError:
    """Returns the typed error for a failed exchange."""
    cause = str(error) or type(error).__name__
    if not attempt.sent:
        return errors.ConnectFailedError(f"no connection to {address}: {cause}")
    attempt.discard_connection()
    return errors.OutcomeUnknownError(
        f"the answer of {address} was lost: {cause}"
    )


def _check_framing(response: Any) -> None:
    """Refuses an answer whose end cannot be told.

    Raises:
        OutcomeUnknownError: The answer is interim or has no length.
    """
    status = response.status_code
    if status < _FIRST_FINAL_STATUS:
        raise errors.OutcomeUnknownError(f"interim answer {status}")
    if status in _BODILESS_STATUSES or response.chunked:
        return
    if "content-length" not in response.headers:
        raise errors.OutcomeUnknownError("the answer has no length")


def _end_to_end_headers(response: Any) -> dict[str, str]:
    """Returns the headers that describe the content, not the connection."""
    headers = {name.lower(): text for name, text in response.raw_headers}
    for name in _HOP_BY_HOP:
        headers.pop(name, None)
    if headers.get("content-encoding", "") in _DECODED_BY_LIBRARY:
        headers.pop("content-encoding")
    return headers
