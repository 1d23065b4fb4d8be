"""Ring buffer of the latest events of this instance."""

from __future__ import annotations

import collections
from typing import NamedTuple

from marigoldgap.events import hybrid_clock
from marigoldgap.events import model
from marigoldgap.events import registry
from marigoldgap.settings import model as settings_model


class _Slot(NamedTuple):
    """A recorded event; its fields are read only on export."""

    at: int
    sequence: int
    event: registry.Event


class EventRing:
    """Keeps the latest events; recording takes constant time.

    Args:
        settings: Settings of this instance.
        own_clock: Clock that stamps the events.
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
        """Number of old events that newer ones have overwritten."""
        return self._sequence - len(self._slots)

    def record(self, event: registry.Event) -> None:
        """Records an event with the current time."""
        self._sequence += 1
        self._slots.append(_Slot(self._clock.now(), self._sequence, event))

    def events(
        self, subject: str = "", since: int = 0
    ) -> list[model.RecordedEvent]:
        """Returns the kept events in the order of recording.

        Args:
            subject: Return only events that concern this id; empty for all.
            since: Return only events after this time of the hybrid logical
                clock.
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
