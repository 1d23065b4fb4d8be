"""HTTP client: one exchange at a time per connection, without retries."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import Any
from typing import ClassVar

import httptools

from marigoldgap import clock
from marigoldgap import measures
from marigoldgap.web import messages
from marigoldgap.web import request_heads

# Covers three round trips between regions (40 ms each) and the first
# retransmission of a lost packet (1 s).
CONNECT_TIMEOUT_S = 1.2
# Idle connections kept for each address; further ones are closed after use.
MAX_IDLE_PER_ADDRESS = 4
# Open connections of a process whose descriptors are not known: those of the
# smallest machine, less what clients may use.
_MAX_CONNECTIONS = 3_000
# Longest time from a call with a check until its request is sent. The authority of
# a leader and evacuations of zones allow half a second for that.
_MAX_SEND_DELAY_S = 0.5
# Unacknowledged data fails the connection after this time, so that a dead link
# is detected before leases of 6 s expire.
_UNACKNOWLEDGED_LIMIT_MS = 4_000
# Size of the status line and headers of a response.
_MAX_HEAD_BYTES = 65_536
# Size of the framing of a response: a page of the store in chunks of 512 bytes.
_MAX_FRAMING_BYTES = 262_144
# Size of a response unless the caller expects a larger one: some 500 ended and
# some thousand running entries of a worker.
MAX_BODY_BYTES = 4 * 1_024 * 1_024
# Time for a complete response whose time limit is for each part: the largest one
# on the thinnest link (5 Mbit/s), beside three others.
_MAX_BULK_S = 60.0
# Pause after which it is examined again whether a silent server is waited for.
_RECHECK_S = 0.2


class Connection(asyncio.Protocol):
    """Client connection that carries one exchange at a time.

    Attributes:
        open_count: Number of open connections of the process.
        received_bytes: Bytes received by the process on such connections.
        sent_bytes: Bytes sent by the process on such connections.
    """

    open_count: ClassVar[int] = 0
    received_bytes: ClassVar[int] = 0
    sent_bytes: ClassVar[int] = 0

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._response_future: asyncio.Future[messages.Response] | None = None
        self._body = bytearray()
        self._max_body_bytes = MAX_BODY_BYTES
        # Bytes of the response that are not of its body.
        self._framing_bytes = 0
        self._is_head_complete = False
        self._headers: list[tuple[str, str]] = []
        self._keep_alive = True
        self._timer: asyncio.TimerHandle | None = None
        # Restarts the timer with each part of the response; 0 if the time limit
        # is for the complete response.
        self._stall_timeout_s = 0.0
        self._bulk_until_s = 0.0
        # Whether a response that is due and has not begun is waited for.
        self._may_wait: Callable[[], bool] | None = None
        # Error with which the connection ended; None while it is open.
        self._end: messages.NoAnswerError | None = None
        self.is_open = False
        # Whether the check of a caller has accepted the server.
        self.is_checked = False
        # Called when the connection has ended.
        self.on_closed: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the time limit for unacknowledged data on the socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.is_open = True
        Connection.open_count += 1
        connected_socket = transport.get_extra_info("socket")
        if connected_socket is not None:
            connected_socket.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                _UNACKNOWLEDGED_LIMIT_MS,
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange in progress."""
        self.is_open = False
        Connection.open_count -= 1
        if exc is None:
            self._end = messages.ClosedByHostError("closed by the server")
        else:
            self._end = messages.NoAnswerError(f"connection lost: {exc}")
        self._fail(self._end)
        if self.on_closed is not None:
            self.on_closed()

    def data_received(self, data: bytes) -> None:
        """Parses a part of the response."""
        Connection.received_bytes += len(data)
        if self._response_future is None or self._response_future.done():
            self.close()
            return
        if self._stall_timeout_s:
            remaining_s = self._bulk_until_s - clock.now_s()
            self._start_timer(min(self._stall_timeout_s, max(remaining_s, 0)))
        body_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(messages.NoAnswerError(f"invalid response: {error}"))
            self.close()
            return
        self._framing_bytes += len(data) - (len(self._body) - body_bytes)
        if self._framing_bytes > _MAX_FRAMING_BYTES or (
            not self._is_head_complete and self._framing_bytes > _MAX_HEAD_BYTES
        ):
            self._exceed("framing-bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header to the response; trailers are left out."""
        if self._is_head_complete:
            return
        self._headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Notes that the body follows."""
        self._is_head_complete = True

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body to the response."""
        if len(self._body) + len(body) > self._max_body_bytes:
            self._exceed("body-bytes")
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Completes the exchange in progress."""
        self._keep_alive = self._parser.should_keep_alive()
        response = messages.Response(
            self._parser.get_status_code(),
            bytes(self._body),
            tuple(self._headers),
        )
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_result(response)

    async def exchange(
        self,
        head: bytes,
        body: bytes,
        timeout_s: float,
        is_bulk: bool = False,
        max_body_bytes: int = MAX_BODY_BYTES,
        may_wait: Callable[[], bool] | None = None,
    ) -> messages.Response:
        """Sends a request and waits for the complete response.

        Args:
            head: Encoded request line and headers.
            body: Content of the request.
            timeout_s: Time limit in seconds.
            is_bulk: Whether the limit is for the time until the next part of
                the response, instead of the complete response. The time that a
                large response takes depends on the link.
            max_body_bytes: Largest body of the response, in bytes.
            may_wait: Returns, at the time limit and from then on, whether a
                response that has not begun is still waited for; None if not.

        Raises:
            NoAnswerError: The request may have been carried out; the response
                was late or too large.
        """
        assert self._transport is not None
        if self._end is not None:
            raise self._end
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._max_body_bytes = max_body_bytes
        self._framing_bytes = 0
        self._is_head_complete = False
        self._headers = []
        loop = asyncio.get_running_loop()
        self._response_future = loop.create_future()
        self._stall_timeout_s = timeout_s if is_bulk else 0.0
        self._bulk_until_s = clock.now_s() + _MAX_BULK_S
        self._may_wait = may_wait
        self._start_timer(timeout_s)
        Connection.sent_bytes += len(head) + len(body)
        self._transport.write(head + body)
        try:
            response = await self._response_future
        except BaseException:
            self.close()
            raise
        finally:
            self._stop_timer()
            self._response_future = None
        if not self._keep_alive:
            self.close()
        return response

    def close(self) -> None:
        """Closes the connection at once."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _start_timer(self, timeout_s: float) -> None:
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(
            timeout_s, self._on_timeout
        )

    def _on_timeout(self) -> None:
        received_bytes = self._framing_bytes + len(self._body)
        if not received_bytes and self._may_wait and self._may_wait():
            self._start_timer(_RECHECK_S)
            return
        self._fail(
            messages.NoAnswerError(
                f"timeout, {received_bytes} bytes received"
                if received_bytes
                else "timeout"
            )
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _exceed(self, limit: str) -> None:
        """Fails the exchange in progress: its response is too large."""
        if self._response_future is None or self._response_future.done():
            return
        measures.LIMITED_RESPONSES.labels(limit).inc()
        self._fail(messages.NoAnswerError(f"response too large: {limit}"))
        self.close()

    def _fail(self, error: messages.NoAnswerError) -> None:
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_exception(error)


async def connect(address: str) -> Connection:
    """Opens a connection to `ip:port`.

    Raises:
        NotConnectedError: The connection failed; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                Connection, host, int(port)
            )
    except ConnectionRefusedError as error:
        raise messages.ConnectionRefusedByHostError(
            f"{address} refused the connection"
        ) from error
    except (OSError, OverflowError, TimeoutError, ValueError) as error:
        raise messages.NotConnectedError(
            f"no connection to {address}: {error or 'timeout'}"
        ) from error
    return connection


class HttpPool:
    """Pool of client connections, grouped by address.

    A leader may have thousands of workers with several connections to each, more
    than its descriptors. Unused connections are closed then, those that were
    used least recently first; sessions with workers keep theirs.

    Args:
        max_connections: Open connections of the process, those outside the pool
            included, beyond which unused ones are closed.
    """

    def __init__(self, max_connections: int = _MAX_CONNECTIONS) -> None:
        self._max_connections = max_connections
        self._idle: dict[str, list[Connection]] = {}
        # The same connections with their addresses, in the order of their use.
        self._by_use: dict[Connection, str] = {}

    async def exchange(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = 1.0,
        headers: tuple[tuple[str, str], ...] = (),
        is_bulk: bool = False,
        check: Callable[[Connection], Awaitable[None]] | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
        may_wait: Callable[[], bool] | None = None,
    ) -> messages.Response:
        """Sends a request once and returns the complete response.

        Args:
            method: HTTP method.
            address: `ip:port` of the server.
            path: Path and query, quoted.
            body: Content, JSON.
            timeout_s: Time limit for the complete response after connecting, in
                seconds.
            headers: Further headers.
            is_bulk: Whether the limit is for the time until the next part of
                the response, instead of the complete response.
            check: Called with a connection before the first request with a
                check is sent on it; raises an error if it must not be used.
                Such a request is sent soon after the call or not at all: the
                caller's permission to send it may end.
            max_body_bytes: Largest body of the response, in bytes.
            may_wait: Returns whether a response that is due and has not begun is
                still waited for; None if not.

        Raises:
            NotConnectedError: Nothing was sent.
            NoAnswerError: The request may have been carried out.
        """
        called_s = clock.now_s()
        connection = self._acquire(address)
        if connection is None:
            self._close_unused(1)
            connection = await connect(address)
        if check is not None:
            await self._check(connection, address, check)
            if clock.now_s() - called_s > _MAX_SEND_DELAY_S:
                self._release(address, connection)
                raise messages.NotConnectedError(
                    f"the connection to {address} took too long; nothing was"
                    " sent"
                )
        head = request_heads.encode(method, address, path, len(body), headers)
        response = await connection.exchange(
            head, body, timeout_s, is_bulk, max_body_bytes, may_wait
        )
        self._release(address, connection)
        return response

    async def _check(
        self,
        connection: Connection,
        address: str,
        check: Callable[[Connection], Awaitable[None]],
    ) -> None:
        if connection.is_checked:
            return
        try:
            await check(connection)
        except BaseException:
            connection.close()
            raise
        if not connection.is_open:
            raise messages.NotConnectedError(
                f"{address} closed the connection after the check"
            )
        connection.is_checked = True

    def _acquire(self, address: str) -> Connection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            self._by_use.pop(connection, None)
            if connection.is_open:
                return connection
        return None

    def _release(self, address: str, connection: Connection) -> None:
        if not connection.is_open:
            return
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        idle.append(connection)
        self._by_use[connection] = address
        self._close_unused(0)

    def _close_unused(self, wanted: int) -> None:
        """Closes unused connections above the limit.

        Args:
            wanted: Number of connections that will be opened now.
        """
        surplus = Connection.open_count + wanted - self._max_connections
        while surplus > 0 and self._by_use:
            connection = next(iter(self._by_use))
            address = self._by_use.pop(connection)
            self._idle[address].remove(connection)
            if connection.is_open:
                connection.close()
                surplus -= 1
