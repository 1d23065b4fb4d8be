"""HTTP server with request limits and a graceful shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

from marigoldgap import clock
from marigoldgap.web import connection_registry
from marigoldgap.web import limit_log
from marigoldgap.web import limits as web_limits
from marigoldgap.web import messages
from marigoldgap.web import server_connection

Handler = Callable[[messages.Request], Awaitable[messages.Response]]
HttpLimits = web_limits.HttpLimits
InterruptHandler = server_connection.InterruptHandler

# Connections that may wait to be accepted: some hundred callers that connect
# while the process is suspended.
_BACKLOG = 512
# The same for an address with few connections; the system stores data of
# connections that wait as well.
_MIN_BACKLOG = 64
# Connections that are accepted before others are dropped for them; until then
# they take descriptors beyond the limit.
_ACCEPTED_AT_ONCE = 16
# Interval at which connections are checked for slow requests and idle time.
_SWEEP_INTERVAL_S = 0.5
# Interval at which it is checked whether the last responses were sent.
_FLUSH_POLL_S = 0.02


class HttpServer:
    """Serves HTTP requests.

    Args:
        handler: Called once for each complete request; returns the response.
        limits: Returns the limits in force.
        registry: Connections of all servers of the process; None if this server
            is the only one and has no limit on them.
        address_kind: Name of the listening address in metrics and log lines.
        max_connections: Most connections at a time; 0 for no limit.
        is_abandonable: Returns whether a request ends with its connection.
            Others continue when their client is gone.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], web_limits.HttpLimits] = web_limits.HttpLimits,
        registry: connection_registry.ConnectionRegistry | None = None,
        address_kind: str = "other",
        max_connections: int = 0,
        is_abandonable: Callable[[messages.Request], bool] = lambda _: False,
    ) -> None:
        self.handler = handler
        self._is_abandonable = is_abandonable
        self.limits = limits
        self.is_draining = False
        self.registry = registry or connection_registry.ConnectionRegistry()
        self.limit_log = limit_log.LimitLog(address_kind)
        self._address_kind = address_kind
        self._max_connections = max_connections
        self._is_closed = False
        self._connections: set[server_connection.ServerConnection] = set()
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
        listener = _listener(address)
        loop = asyncio.get_running_loop()
        self._is_closed = False
        try:
            self._server = await loop.create_server(
                lambda: server_connection.ServerConnection(self),
                sock=listener,
                backlog=_ACCEPTED_AT_ONCE,
            )
        except BaseException:
            listener.close()
            raise
        # The event loop takes one number for both.
        listener.listen(
            min(_BACKLOG, max(_MIN_BACKLOG, self._max_connections))
            if self._max_connections
            else _BACKLOG
        )
        self._sweeper = asyncio.create_task(self._sweep())

    def drain(self) -> None:
        """Makes each connection close after the response to its last request."""
        self.is_draining = True

    async def handle(self, request: messages.Request) -> messages.Response:
        """Returns the response of the handler to a request."""
        return await self.handler(request)

    def is_abandonable(self, request: messages.Request) -> bool:
        """Returns whether a request ends with its connection."""
        return self._is_abandonable(request)

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

    def add(self, connection: server_connection.ServerConnection) -> None:
        """Adds an open connection; a server that has closed reads none."""
        if self._is_closed:
            connection.close()
            return
        self._connections.add(connection)
        self.registry.add(connection, self._address_kind, self._max_connections)

    def remove(self, connection: server_connection.ServerConnection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now_s = clock.now_s()
            limits = self.limits()
            for connection in list(self._connections):
                connection.close_if_overdue(now_s, limits, self.is_draining)


def _listener(address: str) -> socket.socket:
    """Returns a socket that is bound to `ip:port`.

    Connections inherit the sizes of its buffers. Without them, the system
    stores megabytes for each client that sends more than the process reads, or
    reads less than it sends, and counts them as memory of the process.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family)
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(
                socket.SOL_SOCKET, option, web_limits.SOCKET_BUFFER_BYTES
            )
        listener.bind((host, int(port)))
    except BaseException:
        listener.close()
        raise
    return listener
