"""Records changes of membership and terms."""

from __future__ import annotations

from marigoldgap.events import ring
from marigoldgap.events import types
from marigoldgap.scheduling import model


class ChangeObserver:
    """Implements `MembershipListener`.

    Args:
        events: Gets the events.
    """

    def __init__(self, events: ring.EventRing) -> None:
        self._events = events

    def member_linked(self, instance_id: str) -> None:
        """Records an open connection."""
        self._events.record(types.PeerLinked(instance_id))

    def member_lost(self, instance_id: str) -> None:
        """Records a dead instance."""
        self._events.record(types.PeerLost(instance_id, 0))

    def term_changed(self, term: model.Term) -> None:
        """Records a new term."""
        self._events.record(types.TermStarted(term.instance_id, term.counter))
