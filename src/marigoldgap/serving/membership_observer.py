"""Records events for changes of the membership and of the term."""

from __future__ import annotations

from marigoldgap.events import ring
from marigoldgap.events import types
from marigoldgap.scheduling import model


class MembershipObserver:
    """Records membership and term changes; a `MembershipListener`.

    Args:
        events: Event ring that the events are written to.
    """

    def __init__(self, events: ring.EventRing) -> None:
        self._events = events

    def member_linked(self, instance_id: str) -> None:
        """Records that a link to an instance is open."""
        self._events.record(types.PeerLinked(instance_id))

    def member_lost(self, instance_id: str) -> None:
        """Records that an instance is considered dead."""
        self._events.record(types.PeerLost(instance_id, 0))

    def term_changed(self, term: model.Term) -> None:
        """Records the start of a term with its coordinator."""
        self._events.record(types.TermStarted(term.instance_id, term.counter))
