"""HTTP server with bounded requests and a graceful shutdown."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import httptools

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap.web import messages

_log = decision_log.DecisionLogger("web")

Handler = Callable[[messages.Request], Awaitable[messages.Response]]

# Connections that wait to be accepted by this process.
_BACKLOG = 1_024
# Interval at which slow and idle connections are looked for.
_SWEEP_S = 0.5
# Requests that a client may send ahead on one connection.
_MAX_PIPELINED = 16


class HttpLimits(NamedTuple):
    """Limits of requests.

    Attributes:
        header_bytes: Request line and headers.
        body_bytes: Body.
        request_s: From the first byte to the last one of a request.
        idle_s: Connection without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    request_s: float = 3.0
    idle_s: float = 15.0


class HttpServer:
    """Serves requests of any number of connections.

    Args:
        handler: Answers a request; called once for each request.
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
        self._connections: set[_ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not any(each.is_busy for each in self._connections)

    async def start(self, address: str) -> None:
        """Listens on `ip:port`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), host, int(port), backlog=_BACKLOG
        )
        self._sweeper = asyncio.create_task(self._sweep())

    def drain(self) -> None:
        """Closes each connection after its next response."""
        self.is_draining = True

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self._connections):
            connection.close()

    def add(self, connection: _ServerConnection) -> None:
        """Records an open connection."""
        self._connections.add(connection)

    def remove(self, connection: _ServerConnection) -> None:
        """Forgets a closed connection."""
        self._connections.discard(connection)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            now = clock.now_s()
            limits = self.limits()
            for connection in list(self._connections):
                connection.check(now, limits, self.is_draining)


class _ServerConnection(asyncio.Protocol):
    """One connection; its requests are answered one after the other."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[tuple[messages.Request, bool]] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None
        self._since = clock.now_s()
        self._begun = False
        self._reset()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._begun or self._task is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Records the connection."""
        self._transport = transport
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection; a running request goes on."""
        del exc
        self._begun = False
        self._server.remove(self)

    def data_received(self, data: bytes) -> None:
        """Parses a part of a request."""
        if not self._begun:
            self._begun = True
            self._since = clock.now_s()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrade is not supported")
        except httptools.HttpParserError as error:
            self._refuse(400, f"malformed request: {error}")

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Records a part of the target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header."""
        self._count_head(len(name) + len(value))
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Records a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits().body_bytes:
            self._refuse(413, "the body is too large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        if self._transport.is_closing():
            return
        request = messages.Request(
            self._parser.get_method().decode("latin-1"),
            self._url.decode("latin-1"),
            self._headers,
            b"".join(self._body),
        )
        self._begun = False
        if len(self._pending) >= _MAX_PIPELINED:
            self._refuse(429, "too many requests ahead on one connection")
            return
        self._pending.append((request, self._parser.should_keep_alive()))
        if self._task is None:
            self._task = asyncio.create_task(self._answer_all())

    def check(self, now: float, limits: HttpLimits, is_draining: bool) -> None:
        """Closes the connection if it is too slow or idle for too long."""
        if self._task is not None:
            return
        waited = now - self._since
        if self._begun and waited > limits.request_s:
            self._refuse(408, "the request was not complete in time")
        elif not self._begun and not is_draining and waited > limits.idle_s:
            self.close()

    def close(self) -> None:
        """Closes after what was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits().header_bytes:
            self._refuse(431, "the headers are too large")

    def _refuse(self, status: int, why: str) -> None:
        if self._transport.is_closing():
            return
        _log.warning("request_malformed", status=status, cause=why)
        response = messages.json_response(status, {"error": why})
        self._transport.write(messages.encode_response(response, True))
        self._begun = False
        self._transport.close()

    async def _answer_all(self) -> None:
        try:
            while self._pending and not self._transport.is_closing():
                await self._answer(*self._pending.popleft())
        finally:
            self._since = clock.now_s()
            self._task = None

    async def _answer(
        self, request: messages.Request, keep_alive: bool
    ) -> None:
        try:
            response = await self._server.handler(request)
        except Exception:
            _log.exception("answer_failed", method=request.method)
            response = messages.json_response(500, {"error": "internal-error"})
        close = not keep_alive or self._server.is_draining
        if self._transport.is_closing():
            return
        self._transport.write(messages.encode_response(response, close))
        if close:
            self._transport.close()
