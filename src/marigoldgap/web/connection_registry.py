"""Connections of all HTTP servers of a process, within the limits of it."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from marigoldgap import measures
from marigoldgap.web import connection_budget
from marigoldgap.web import limits as web_limits

# Of a full set of connections, this share is dropped at once if idle, so that
# the connections are not searched for each one that a client opens.
_DROPPED_AT_ONCE_SHARE = 32
# Share of the bytes in use that is freed at once, for the same reason.
_FREED_AT_ONCE_SHARE = 16


class Connection(Protocol):
    """A connection of one of the servers."""

    @property
    def state(self) -> connection_budget.ConnectionState:
        """What the connection is doing and what it holds."""

    @property
    def held_bytes(self) -> int:
        """Bytes of its unfinished requests and unsent responses."""

    @property
    def is_leaving(self) -> bool:
        """Whether the connection is about to be closed with nothing unsent."""

    def drop(self, limit: str) -> None:
        """Rejects what was read in part, or closes the connection."""

    def refuse(self, limit: str) -> None:
        """Rejects whatever the client is going to send."""


class ConnectionRegistry:
    """Limits the connections of a process and what they hold.

    Args:
        limits: What all of them may hold together; None for no limit.
    """

    def __init__(self, limits: web_limits.ProcessLimits | None = None) -> None:
        self._limits = limits
        self._kinds: dict[Connection, str] = {}
        self._by_kind: dict[str, set[Connection]] = {}
        self._held: dict[Connection, int] = {}
        self._held_bytes = 0
        if limits is not None:
            measures.HELD_BYTES.set_function(lambda: self._held_bytes)

    @property
    def held_bytes(self) -> int:
        """Bytes of unfinished requests and unsent responses."""
        return self._held_bytes

    def add(self, connection: Connection, kind: str, maximum: int) -> None:
        """Adds a connection; drops others, or itself, if there are too many.

        Args:
            connection: The connection.
            kind: Name of its listening address.
            maximum: Most connections of this address; 0 for no limit.
        """
        self._kinds[connection] = kind
        self._held[connection] = 0
        measures.CLIENT_CONNECTIONS.labels(kind).inc()
        same_kind = self._by_kind.setdefault(kind, set())
        same_kind.add(connection)
        if maximum:
            self._make_room(same_kind, connection, maximum)
        if self._limits is not None and not connection.is_leaving:
            self._make_room(self._kinds, connection, self._limits.connections)

    def remove(self, connection: Connection) -> None:
        """Removes a connection that was closed."""
        kind = self._kinds.pop(connection, None)
        if kind is None:
            return
        self._by_kind[kind].discard(connection)
        measures.CLIENT_CONNECTIONS.labels(kind).dec()
        self._held_bytes -= self._held.pop(connection)

    def update(self, connection: Connection) -> None:
        """Counts what a connection holds now; drops some if it is too much."""
        if connection not in self._held:
            return
        held_bytes = connection.held_bytes
        change = held_bytes - self._held[connection]
        if not change:
            return
        self._held[connection] = held_bytes
        self._held_bytes += change
        if (
            change > 0
            and self._limits is not None
            and self._held_bytes > self._limits.held_bytes
        ):
            self._free(self._limits.held_bytes)

    def _make_room(
        self,
        candidates: Collection[Connection],
        newest: Connection,
        maximum: int,
    ) -> None:
        """Drops connections beyond a maximum, the newest one last."""
        if len(candidates) <= maximum:
            return
        staying = [each for each in candidates if not each.is_leaving]
        surplus = len(staying) - maximum
        if surplus <= 0:
            return
        states = {each: each.state for each in staying if each is not newest}
        selected = connection_budget.select(
            states, surplus + maximum // _DROPPED_AT_ONCE_SHARE, 0
        )
        for number, each in enumerate(selected):
            is_idle = states[each].phase is connection_budget.Phase.IDLE
            if number < surplus or is_idle:
                each.drop("connections")
        if len(selected) < surplus:
            newest.refuse("connections")

    def _free(self, maximum: int) -> None:
        surplus = self._held_bytes - maximum + maximum // _FREED_AT_ONCE_SHARE
        states = {
            each: each.state for each in self._kinds if not each.is_leaving
        }
        for each in connection_budget.select(states, 0, surplus):
            each.drop("held-bytes")
