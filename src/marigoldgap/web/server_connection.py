"""Connection of an HTTP server: answers its requests in order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import os
import select
from typing import Any
from typing import Protocol

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap.web import connection_budget
from marigoldgap.web import connection_registry
from marigoldgap.web import limit_log
from marigoldgap.web import limits as web_limits
from marigoldgap.web import messages
from marigoldgap.web import request_reader

_log = decision_log.DecisionLogger("web")

# Returns the response to a request that was cancelled, by whether its handler
# had begun.
InterruptHandler = Callable[[messages.Request, bool], messages.Response]

# Unsent bytes of responses from which on no further request is handled: more
# than any response to a caller.
_WRITE_LIMIT_BYTES = 65_536
# Parts in which bytes that arrived while reading was paused are parsed.
_PACED_BYTES = 512
# The same within a body, which ends at most once in a part.
_PACED_BODY_BYTES = 4_096
# More than the system stores of a connection that is not read.
_MAX_ARRIVED_BYTES = 8 * web_limits.SOCKET_BUFFER_BYTES
# Time after which a client that reads nothing of its responses is disconnected:
# longer than a pause of a healthy client or its link.
_UNREAD_TIMEOUT_S = 10.0
# Time in which a closing connection must have sent its last response.
_DRAIN_TIMEOUT_S = 5.0
# Time after which a client that was rejected for lack of room may return.
_RETRY_AFTER_S = 1
_RETRY_STATUSES = frozenset({429, 503})


class Server(Protocol):
    """The server of a connection."""

    is_draining: bool
    registry: connection_registry.ConnectionRegistry
    limit_log: limit_log.LimitLog

    async def handle(self, request: messages.Request) -> messages.Response:
        """Returns the response to a request."""

    def limits(self) -> web_limits.HttpLimits:
        """Returns the limits in force."""

    def add(self, connection: ServerConnection) -> None:
        """Adds an open connection."""

    def remove(self, connection: ServerConnection) -> None:
        """Removes a closed connection."""

    def is_abandonable(self, request: messages.Request) -> bool:
        """Returns whether a request ends with its connection."""


class ServerConnection(asyncio.Protocol):
    """Server connection; answers its requests in order, one at a time.

    Args:
        server: The server.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: Any = None
        self._reader = request_reader.RequestReader(server.limits)
        self._task: asyncio.Task[None] | None = None
        # The request that the handler is answering.
        self._current: request_reader.ReadRequest | None = None
        # Whether the client has ended its data.
        self._has_client_finished = False
        self._is_lost = False
        self._source = ""
        self._state_since_s = clock.now_s()
        # Set while the unsent responses are below the limit.
        self._can_write = asyncio.Event()
        self._can_write.set()
        # Unsent bytes at the latest check, and since when they have not
        # become fewer.
        self._unsent_bytes = 0
        self._unread_since_s = 0.0
        self._closing_since_s: float | None = None
        # Bytes that are parsed once earlier requests have been answered. What
        # arrives after a pause of reading may hold any number of requests
        # although the client did not send them at once.
        self._unparsed = bytearray()

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes once its data has been sent."""
        return self._transport.is_closing()

    @property
    def is_leaving(self) -> bool:
        """Whether it closes, has nothing to send and handles no request."""
        return (
            self._transport.is_closing()
            and self._current is None
            and not self._transport.get_write_buffer_size()
        )

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        is_answering = self._phase is connection_budget.Phase.HANDLING
        return self._reader.is_reading or is_answering

    @property
    def state(self) -> connection_budget.ConnectionState:
        """What the connection is doing and what it holds."""
        return connection_budget.ConnectionState(
            self._phase, self._state_since_s, self.held_bytes
        )

    @property
    def held_bytes(self) -> int:
        """Bytes of its unfinished requests and unsent responses."""
        current = self._current
        return (
            self._reader.partial_bytes
            + self._reader.complete_bytes
            + len(self._unparsed)
            + (0 if current is None else current.held_bytes)
            + self._transport.get_write_buffer_size()
        )

    @property
    def _phase(self) -> connection_budget.Phase:
        is_next = self._task is not None and self._can_write.is_set()
        if self._current is not None or (
            is_next and not self._transport.is_closing()
        ):
            return connection_budget.Phase.HANDLING
        if self._transport.get_write_buffer_size() or self._task is not None:
            return connection_budget.Phase.UNREAD
        if self._reader.is_in_body:
            return connection_budget.Phase.BODY
        if self._reader.is_reading:
            return connection_budget.Phase.HEAD
        return connection_budget.Phase.IDLE

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

    @property
    def _has_arrived_in_pause(self) -> bool:
        """Whether data that arrived while reading was paused is not parsed."""
        if self._unparsed:
            return True
        return not self._transport.is_reading() and self._has_unread_data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the connection to the server."""
        self._transport = transport
        self._transport.set_write_buffer_limits(high=_WRITE_LIMIT_BYTES)
        peer = transport.get_extra_info("peername")
        self._source = str(peer[0]) if peer else ""
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection; a request that is being handled continues.

        It counts until it has been handled: a client that disconnects after
        each request would have any number of them otherwise.
        """
        del exc
        self._is_lost = True
        self._reader.is_reading = False
        # Ends the wait for a client that is gone.
        self._can_write.set()
        self._unparsed.clear()
        self._server.remove(self)
        if self._task is None:
            self._server.registry.remove(self)
        elif self._current is not None and self._server.is_abandonable(
            self._current.request
        ):
            self._task.cancel()

    def pause_writing(self) -> None:
        """Handles no further request until responses have been sent."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Continues with the next request."""
        self._can_write.set()
        self._update()

    def eof_received(self) -> bool:
        """Handles the end of the client's data.

        Returns:
            Whether the connection stays open until its requests are answered.
        """
        self._reader.is_reading = False
        self._has_client_finished = True
        return self._task is not None

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._reader.rejection is not None:
            return
        if not self._reader.is_reading:
            self._state_since_s = clock.now_s()
        if self._reader.limits_count:
            self._reader.feed(data)
            self._take_read()
        else:
            self._unparsed += data
        self._update()

    def close_if_overdue(
        self, now_s: float, limits: web_limits.HttpLimits, is_draining: bool
    ) -> None:
        """Closes a connection that is idle or waits for its client too long."""
        if self._abort_if_unread(now_s) or self._task is not None:
            return
        waited_s = now_s - self._state_since_s
        if self._reader.is_reading and waited_s > limits.request_s:
            self._reject(
                408, "request-time", "the request was not complete in time"
            )
        elif (
            not self._reader.is_reading
            and not is_draining
            and waited_s > limits.idle_s
            and not self._has_unread_data
        ):
            self.close()

    def drop(self, limit: str) -> None:
        """Rejects what was read in part, or closes the connection.

        A connection on which a request has arrived unread is not idle, and
        stays open.

        Args:
            limit: The limit of the process, in metrics.
        """
        phase = self._phase
        if phase is connection_budget.Phase.UNREAD:
            self._abort(limit)
        elif phase is not connection_budget.Phase.IDLE:
            self.refuse(limit)
        elif not self._has_unread_data:
            self._record("connection_dropped", limit)
            self.close()
        # What it held is free now; the connection is removed later.
        self._server.registry.update(self)

    def refuse(self, limit: str) -> None:
        """Rejects whatever the client sends, and closes the connection.

        Args:
            limit: The limit of the process, in metrics.
        """
        self._record("connection_dropped", limit)
        self._reader.reject(503, limit, "the server holds too many requests")
        if self._reader.rejection is not None:
            response = _rejection_response(self._reader.rejection)
            self._write(response, True)
        if self._transport.get_write_buffer_size():
            self._transport.abort()

    def answer_unfinished(self, answer: InterruptHandler) -> int:
        """Cancels the requests of the connection and answers them.

        A request that was not read completely is rejected.

        Returns:
            The number of complete requests that were cancelled.
        """
        if self._task is not None:
            self._task.cancel()
        self._read_arrived()
        unfinished = [(each.request, False) for each in self._reader.complete]
        if self._current is not None:
            unfinished.insert(0, (self._current.request, True))
        self._reader.complete.clear()
        if self._transport.is_closing():
            return 0
        responses = [answer(*each) for each in unfinished]
        if self._reader.rejection is not None:
            responses.append(_rejection_response(self._reader.rejection))
        elif self._reader.is_reading:
            reason = "the server ends before the request is complete"
            responses.append(messages.json_response(503, {"error": reason}))
        for number, response in enumerate(responses, 1):
            self._write(response, number == len(responses))
        return len(unfinished)

    def close(self) -> None:
        """Closes the connection after the written data has been sent."""
        if self._transport is not None:
            if self._closing_since_s is None:
                self._closing_since_s = clock.now_s()
            self._transport.close()

    def _reject(self, status: int, limit: str, reason: str) -> None:
        self._reader.reject(status, limit, reason)
        if self._reader.rejection is not None:
            self._refuse(self._reader.rejection)

    def _refuse(self, rejection: request_reader.Rejection) -> None:
        """Rejects what was read last, after the responses to earlier requests.

        A client reads the responses in the order of its requests.
        """
        if self._transport.is_closing():
            return
        self._record(
            "request_malformed",
            rejection.limit,
            status=rejection.status,
            cause=rejection.reason,
        )
        if self._task is None:
            self._write(_rejection_response(rejection), True)

    def _abort_if_unread(self, now_s: float) -> bool:
        """Ends a connection whose client reads nothing; returns whether."""
        unsent_bytes = self._transport.get_write_buffer_size()
        if (
            not unsent_bytes
            or unsent_bytes < self._unsent_bytes
            or not self._unsent_bytes
        ):
            self._unread_since_s = now_s
        self._unsent_bytes = unsent_bytes
        if not unsent_bytes:
            return False
        closing_since_s = self._closing_since_s
        if (
            closing_since_s is not None
            and now_s - closing_since_s > _DRAIN_TIMEOUT_S
        ):
            self._abort("undrained")
            return True
        if now_s - self._unread_since_s > _UNREAD_TIMEOUT_S:
            self._abort("unread-responses")
            return True
        return False

    def _abort(self, limit: str) -> None:
        self._record("connection_dropped", limit)
        self._transport.abort()

    def _record(self, event: str, limit: str, **fields: Any) -> None:
        self._server.limit_log.record(event, limit, self._source, **fields)

    def _update(self) -> None:
        """Counts what is held; stops reading while it is too much."""
        while self._unparsed and self._should_read():
            is_in_body = self._reader.is_in_body
            size = _PACED_BODY_BYTES if is_in_body else _PACED_BYTES
            part = bytes(self._unparsed[:size])
            del self._unparsed[:size]
            self._reader.feed(part)
            self._take_read()
        self._server.registry.update(self)
        if self._transport.is_closing():
            return
        if self._should_read():
            self._transport.resume_reading()
        else:
            self._reader.limits_count = False
            self._transport.pause_reading()

    def _take_read(self) -> None:
        """Starts to answer what was read, or to reject it."""
        if self._reader.complete and self._task is None:
            self._task = asyncio.create_task(self._answer_all())
        if self._reader.rejection is not None:
            self._unparsed.clear()
            self._refuse(self._reader.rejection)

    def _read_arrived(self) -> None:
        """Parses all that has arrived while reading was paused."""
        if self._transport.is_closing() or self._transport.is_reading():
            return
        try:
            descriptor = self._transport.get_extra_info("socket").fileno()
            self._unparsed += os.read(descriptor, _MAX_ARRIVED_BYTES)
        except BlockingIOError:
            # Nothing has arrived.
            pass
        except OSError as error:
            _log.warning("connection_lost", cause=str(error))
        self._reader.feed(bytes(self._unparsed))
        self._unparsed.clear()

    def _should_read(self) -> bool:
        reader = self._reader
        if reader.rejection is not None or not self._can_write.is_set():
            return False
        if self._transport.is_closing():
            return False
        if self._task is None:
            return True
        # Behind a request that is being answered, as much as a head is held.
        behind_bytes = reader.complete_bytes + reader.partial_bytes
        if self._current is None and reader.complete:
            behind_bytes -= reader.complete[0].held_bytes
        return (
            len(reader.complete) < request_reader.MAX_PIPELINED_REQUESTS
            and behind_bytes < self._server.limits().header_bytes
        )

    async def _answer_all(self) -> None:
        try:
            while self._reader.complete and not self._transport.is_closing():
                await self._answer(self._reader.complete.popleft())
                self._update()
                await self._can_write.wait()
                if self._reader.complete:
                    # Other connections have their turn between the requests
                    # that a client sends at once.
                    await asyncio.sleep(0)
            if self._reader.rejection is not None:
                self._write(_rejection_response(self._reader.rejection), True)
        finally:
            self._state_since_s = clock.now_s()
            self._task = None
            if self._is_lost:
                self._server.registry.remove(self)
            elif not self._transport.is_closing():
                self._update()

    async def _answer(self, read: request_reader.ReadRequest) -> None:
        self._current = read
        try:
            response = await self._server.handle(read.request)
        except Exception:
            _log.exception("answer_failed", method=read.request.method)
            response = messages.json_response(500, {"error": "internal-error"})
        finally:
            self._current = None
        # Requests that were already read, or arrived while reading was paused,
        # are answered before the connection closes.
        is_last = (
            not self._reader.complete
            and self._reader.rejection is None
            and (self._server.is_draining or self._has_client_finished)
            and not self._has_arrived_in_pause
        )
        self._write(response, not read.keep_alive or is_last)

    def _write(self, response: messages.Response, close: bool) -> None:
        if self._transport.is_closing():
            return
        self._transport.write(messages.encode_response(response, close))
        if close:
            self.close()


def _rejection_response(
    rejection: request_reader.Rejection,
) -> messages.Response:
    body = {"error": rejection.reason}
    if rejection.status not in _RETRY_STATUSES:
        return messages.json_response(rejection.status, body)
    return messages.json_response(
        rejection.status,
        {**body, "retryAfterMs": _RETRY_AFTER_S * 1000},
        (("Retry-After", str(_RETRY_AFTER_S)),),
    )
