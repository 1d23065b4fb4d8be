"""Bounded memory of the latest events of this instance."""

from __future__ import annotations

import collections
from typing import NamedTuple

from marigoldgap.events import hybrid_clock
from marigoldgap.events import model
from marigoldgap.events import registry
from marigoldgap.settings import model as settings_model


class _Slot(NamedTuple):
    """An event as it was recorded; fields are read on export only."""

    at: int
    sequence: int
    event: registry.Event


class EventRing:
    """Keeps the latest events; recording costs the same at any fill.

    Args:
        settings: Settings of this instance.
        own_clock: Stamps the events.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        own_clock: hybrid_clock.HybridClock,
    ) -> None:
        self._instance_id = settings.instance_id
        self._clock = own_clock
        self._slots: collections.deque[_Slot] = collections.deque(
            maxlen=settings.event_ring_size
        )
        self._sequence = 0

    @property
    def dropped(self) -> int:
        """How many old events made room for new ones."""
        return self._sequence - len(self._slots)

    def record(self, event: registry.Event) -> None:
        """Adds an event that happened now."""
        self._sequence += 1
        self._slots.append(_Slot(self._clock.now(), self._sequence, event))

    def events(
        self, subject: str = "", since: int = 0
    ) -> list[model.RecordedEvent]:
        """Returns events in order.

        Args:
            subject: Only events that concern this id; empty for all.
            since: Only events after this time of the hybrid logical clock.
        """
        recorded = [
            model.RecordedEvent(
                slot.at,
                self._instance_id,
                slot.sequence,
                registry.name_of(slot.event),
                slot.event._asdict(),
            )
            for slot in self._slots
            if slot.at > since
        ]
        if not subject:
            return recorded
        return [event for event in recorded if event.concerns(subject)]
