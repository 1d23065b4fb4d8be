"""State of another entry instance, as its messages reported it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import transitions

from marigoldgap.entries import messages
from marigoldgap.scheduling import model

CONNECTING = "connecting"
LIVE = "live"
SUSPECT = "suspect"
DRAINING = "draining"
DEAD = "dead"

_TRANSITIONS: list[list[Any]] = [
    ["heard", [CONNECTING, SUSPECT, DEAD, DRAINING], LIVE],
    ["drained", [CONNECTING, LIVE, SUSPECT, DEAD], DRAINING],
    ["silent", LIVE, SUSPECT],
    ["lost", [CONNECTING, LIVE, SUSPECT, DRAINING], DEAD],
]

_machine = transitions.Machine(
    model=None,
    states=[CONNECTING, LIVE, SUSPECT, DRAINING, DEAD],
    transitions=_TRANSITIONS,
    initial=CONNECTING,
    auto_transitions=False,
    ignore_invalid_triggers=True,
)


class Peer:
    """State machine and last reported state of another entry instance.

    Args:
        instance_id: Id of the peer.
        zone: Zone of the peer.
        now_ms: Monotonic time of its creation; it counts as the first
            message.

    Attributes:
        state: One of the states defined in this module.
        incarnation: Token of the process that last connected; changes with a
            restart.
        last_message_ms: Monotonic time of the last message.
        term: The term that the peer obeys.
        config_version: Configuration version in force on the peer.
        generation: Number of changes to the peer's set of owned workers.
        free: Free resources by service, as of the last heartbeat.
        waiting: Number of waiting tasks by queue.
        running: Number of running tasks by team.
    """

    state: str
    trigger: Callable[[str], bool]

    def __init__(self, instance_id: str, zone: str, now_ms: int) -> None:
        self.instance_id = instance_id
        self.zone = zone
        self.incarnation = ""
        self.last_message_ms = now_ms
        self.term = model.NO_TERM
        self.config_version = 0
        self.generation = 0
        self.free: dict[str, model.Resources] = {}
        self.waiting: dict[str, int] = {}
        self.running: dict[str, int] = {}
        _machine.add_model(self)

    @property
    def alive(self) -> bool:
        """Whether the peer counts as a member of its zone."""
        return self.state in (LIVE, SUSPECT, DRAINING)

    def record_message(self, now_ms: int) -> None:
        """Records that a message arrived from the peer."""
        self.last_message_ms = now_ms
        if self.state not in (LIVE, DRAINING):
            self.trigger("heard")

    def apply(self, heartbeat: messages.Heartbeat) -> None:
        """Applies the content of a heartbeat."""
        if heartbeat.draining != (self.state == DRAINING):
            self.trigger("drained" if heartbeat.draining else "heard")
        self.term = heartbeat.term
        self.config_version = heartbeat.config_version
        self.generation = heartbeat.generation
        if heartbeat.full:
            self.free.clear()
            self.waiting.clear()
            self.running.clear()
        for entry in heartbeat.free:
            self.free[entry.service] = entry.free
        _apply_counts(self.waiting, heartbeat.waiting)
        _apply_counts(self.running, heartbeat.running)

    def detach(self) -> None:
        """Detaches the peer from the shared state machine.

        The peer must not be used afterwards.
        """
        _machine.remove_model(self)


def _apply_counts(
    counts: dict[str, int], changes: tuple[messages.Count, ...]
) -> None:
    """Applies changed numbers to the counts; 0 removes an entry."""
    for change in changes:
        if change.number:
            counts[change.name] = change.number
        else:
            counts.pop(change.name, None)
