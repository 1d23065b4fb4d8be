"""HTTP server with request limits and a graceful shutdown."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import select
from typing import Any
from typing import NamedTuple

import httptools

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap.web import messages

_log = decision_log.DecisionLogger("web")

Handler = Callable[[messages.Request], Awaitable[messages.Response]]
# Returns the response to a request that was cancelled, by whether its handler
# had begun.
InterruptHandler = Callable[[messages.Request, bool], messages.Response]

# Connections that may wait to be accepted.
_BACKLOG = 1_024
# Interval at which connections are checked for slow requests and idle time.
_SWEEP_INTERVAL_S = 0.5
# Interval at which it is checked whether the last responses were sent.
_FLUSH_POLL_S = 0.02
# Requests on one connection that may wait for the response to an earlier one.
_MAX_PIPELINED_REQUESTS = 16


class HttpLimits(NamedTuple):
    """Size and time limits of requests and connections.

    Attributes:
        header_bytes: Size of the request line and headers.
        body_bytes: Size of the body.
        request_s: Seconds from the first to the last byte of a request.
        idle_s: Seconds that a connection may stay open without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    request_s: float = 3.0
    idle_s: float = 15.0


class HttpServer:
    """Serves HTTP requests.

    Args:
        handler: Called once for each complete request; returns the response.
        limits: Returns the limits in force.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], HttpLimits] = HttpLimits,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.is_draining = False
        self._is_closed = False
        self._connections: set[_ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self.request_count

    @property
    def request_count(self) -> int:
        """Number of connections on which a request is read or answered."""
        return sum(each.is_busy for each in self._connections)

    async def start(self, address: str) -> None:
        """Listens on `ip:port`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._is_closed = False
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), host, int(port), backlog=_BACKLOG
        )
        self._sweeper = asyncio.create_task(self._sweep())

    def drain(self) -> None:
        """Makes each connection close after the response to its last request."""
        self.is_draining = True

    def answer_unfinished(self, answer: InterruptHandler) -> int:
        """Cancels the requests in progress and answers each of them now.

        Args:
            answer: Returns the response to a request that was cancelled.

        Returns:
            The number of requests that were cancelled.
        """
        return sum(
            connection.answer_unfinished(answer)
            for connection in list(self._connections)
        )

    async def flush(self, timeout_s: float) -> None:
        """Waits until closing connections have sent their last response.

        Requests that have arrived by then are read.

        Args:
            timeout_s: Longest time to wait, in seconds.
        """
        until_s = clock.now_s() + timeout_s
        while True:
            await asyncio.sleep(_FLUSH_POLL_S)
            if clock.now_s() >= until_s:
                return
            if not any(each.is_closing for each in self._connections):
                return

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self._is_closed = True
        if self._server is not None:
            self._server.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self._connections):
            connection.close()

    def add(self, connection: _ServerConnection) -> None:
        """Adds an open connection; a server that has closed reads none."""
        if self._is_closed:
            connection.close()
            return
        self._connections.add(connection)

    def remove(self, connection: _ServerConnection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now_s = clock.now_s()
            limits = self.limits()
            for connection in list(self._connections):
                connection.close_if_overdue(now_s, limits, self.is_draining)


class _ServerConnection(asyncio.Protocol):
    """Server connection; answers its requests in order, one at a time."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[tuple[messages.Request, bool]] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None
        # The request that the handler is answering.
        self._current: messages.Request | None = None
        # Whether the client has ended its data.
        self._has_client_finished = False
        # Response after which the connection closes, since what follows the
        # requests that were read is invalid.
        self._rejection: messages.Response | None = None
        self._state_since_s = clock.now_s()
        self._is_reading = False
        self._reset()

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes once its data has been sent."""
        return self._transport.is_closing()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._is_reading or self._task is not None

    @property
    def _has_unread_data(self) -> bool:
        """Whether data has arrived that the event loop has not read yet."""
        if self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(
            self._transport.get_extra_info("socket").fileno(), select.POLLIN
        )
        return bool(poll.poll(0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the connection to the server."""
        self._transport = transport
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection; a request that is being handled continues."""
        del exc
        self._is_reading = False
        self._server.remove(self)

    def eof_received(self) -> bool:
        """Handles the end of the client's data.

        Returns:
            Whether the connection stays open until its requests are answered.
        """
        self._is_reading = False
        self._has_client_finished = True
        return self._task is not None

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._rejection is not None:
            return
        if not self._is_reading:
            self._is_reading = True
            self._state_since_s = clock.now_s()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrade is not supported")
        except httptools.HttpParserError as error:
            self._reject(400, f"malformed request: {error}")

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Adds a part of the request target."""
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._count_head_bytes(len(name) + len(value))
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits().body_bytes:
            self._reject(413, "the body is too large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        if self._transport.is_closing() or self._rejection is not None:
            return
        request = messages.Request(
            self._parser.get_method().decode("latin-1"),
            self._url.decode("latin-1"),
            self._headers,
            b"".join(self._body),
        )
        self._is_reading = False
        if len(self._pending) >= _MAX_PIPELINED_REQUESTS:
            self._reject(429, "too many requests ahead on one connection")
            return
        self._pending.append((request, self._parser.should_keep_alive()))
        if self._task is None:
            self._task = asyncio.create_task(self._answer_all())

    def close_if_overdue(
        self, now_s: float, limits: HttpLimits, is_draining: bool
    ) -> None:
        """Closes a connection that is idle or reads a request for too long."""
        if self._task is not None:
            return
        waited_s = now_s - self._state_since_s
        if self._is_reading and waited_s > limits.request_s:
            self._reject(408, "the request was not complete in time")
        elif (
            not self._is_reading
            and not is_draining
            and waited_s > limits.idle_s
            and not self._has_unread_data
        ):
            self.close()

    def answer_unfinished(self, answer: InterruptHandler) -> int:
        """Cancels the requests of the connection and answers them.

        A request that was not read completely is rejected.

        Returns:
            The number of complete requests that were cancelled.
        """
        if self._task is not None:
            self._task.cancel()
        unfinished = [(request, False) for request, _ in self._pending]
        if self._current is not None:
            unfinished.insert(0, (self._current, True))
        self._pending.clear()
        if self._transport.is_closing():
            return 0
        responses = [answer(*each) for each in unfinished]
        if self._rejection is not None:
            responses.append(self._rejection)
        elif self._is_reading:
            reason = "the server ends before the request is complete"
            responses.append(messages.json_response(503, {"error": reason}))
        for number, response in enumerate(responses, 1):
            self._write(response, number == len(responses))
        return len(unfinished)

    def close(self) -> None:
        """Closes the connection after the written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits().header_bytes:
            self._reject(431, "the headers are too large")

    def _reject(self, status: int, reason: str) -> None:
        """Rejects what was read last, after the responses to earlier requests.

        A client reads the responses in the order of its requests.
        """
        if self._transport.is_closing() or self._rejection is not None:
            return
        _log.warning("request_malformed", status=status, cause=reason)
        response = messages.json_response(status, {"error": reason})
        self._is_reading = False
        if self._task is None:
            self._write(response, True)
        else:
            self._rejection = response

    async def _answer_all(self) -> None:
        try:
            while self._pending and not self._transport.is_closing():
                await self._answer(*self._pending.popleft())
            if self._rejection is not None:
                self._write(self._rejection, True)
        finally:
            self._state_since_s = clock.now_s()
            self._task = None

    async def _answer(
        self, request: messages.Request, keep_alive: bool
    ) -> None:
        self._current = request
        try:
            response = await self._server.handler(request)
        except Exception:
            _log.exception("answer_failed", method=request.method)
            response = messages.json_response(500, {"error": "internal-error"})
        finally:
            self._current = None
        # Requests that were already read are answered before the connection
        # closes.
        is_last = (
            not self._pending
            and self._rejection is None
            and (self._server.is_draining or self._has_client_finished)
        )
        self._write(response, not keep_alive or is_last)

    def _write(self, response: messages.Response, close: bool) -> None:
        if self._transport.is_closing():
            return
        self._transport.write(messages.encode_response(response, close))
        if close:
            self._transport.close()
