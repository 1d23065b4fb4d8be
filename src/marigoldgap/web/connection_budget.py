"""Decides which connections to drop when the clients of a process hold too much.

Callers with a request in progress keep their service: connections without one
are dropped first, and a request that has been passed to its handler is never
dropped. Designed for clients that open as many connections, or send as much of
requests, as they can, beside some hundred ordinary connections.
"""

from __future__ import annotations

from collections.abc import Mapping
import enum
import heapq
from typing import NamedTuple
from typing import TypeVar

_Key = TypeVar("_Key")


class Phase(enum.IntEnum):
    """What a connection is doing; a lower phase is dropped first."""

    # No request is being read or answered.
    IDLE = 0
    # The client does not read responses, and nothing is being handled.
    UNREAD = 1
    # A part of a head has arrived.
    HEAD = 2
    # A part of a body has arrived.
    BODY = 3
    # A request has been passed to its handler, or is about to be.
    HANDLING = 4


class ConnectionState(NamedTuple):
    """State of a connection.

    Attributes:
        phase: What it is doing.
        since_s: When this began, in seconds.
        held_bytes: Bytes of its requests and unsent responses.
    """

    phase: Phase
    since_s: float
    held_bytes: int


def select(
    states: Mapping[_Key, ConnectionState],
    surplus_connections: int,
    surplus_bytes: int,
) -> list[_Key]:
    """Returns the connections to drop, the first one first.

    Idle connections are dropped longest idle first, then those that do not read
    their responses and those with a part of a head, oldest first, then those
    with a part of a body, largest first. Fewer are returned than the surplus
    needs if the others have requests in progress.

    Args:
        states: All connections by key.
        surplus_connections: Number of connections to drop at least.
        surplus_bytes: Held bytes to free at least.
    """
    selected: list[_Key] = []
    if surplus_connections > 0:
        selected = heapq.nsmallest(
            surplus_connections,
            (
                key
                for key, state in states.items()
                if state.phase is not Phase.HANDLING
            ),
            key=lambda key: _rank(states[key]),
        )
    freed = sum(states[key].held_bytes for key in selected)
    if freed >= surplus_bytes:
        return selected
    chosen = set(selected)
    holders = sorted(
        (
            key
            for key, state in states.items()
            if state.phase is not Phase.HANDLING
            and state.held_bytes
            and key not in chosen
        ),
        key=lambda key: _rank(states[key]),
    )
    for key in holders:
        if freed >= surplus_bytes:
            break
        selected.append(key)
        freed += states[key].held_bytes
    return selected


def _rank(state: ConnectionState) -> tuple[int, float]:
    if state.phase is Phase.BODY:
        return state.phase, -state.held_bytes
    return state.phase, state.since_s
