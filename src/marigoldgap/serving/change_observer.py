"""Records changes of membership, terms and configuration."""

from __future__ import annotations

from collections.abc import Sequence

from marigoldgap.config_store import model as config_model
from marigoldgap.events import ring
from marigoldgap.events import types
from marigoldgap.scheduling import model


class ChangeObserver:
    """Implements `MembershipListener` and `ConfigListener`.

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

    def config_changed(
        self, versions: Sequence[config_model.ConfigVersion]
    ) -> None:
        """Records adopted versions."""
        for change in versions:
            self._events.record(
                types.ConfigAdopted(change.version, change.author)
            )

    def keys_denied(self, key_ids: Sequence[str]) -> None:
        """Records withdrawn keys."""
        for key_id in key_ids:
            self._events.record(types.KeyDenied(key_id))
