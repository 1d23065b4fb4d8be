"""Creates the hybrid logical clock and the event ring of an instance."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.events import hybrid_clock
from marigoldgap.events import ring
from marigoldgap.settings import model as settings_model


class Events(NamedTuple):
    """The clock and the event ring; the clock also stamps peer messages."""

    clock: hybrid_clock.HybridClock
    ring: ring.EventRing


def build(settings: settings_model.Settings) -> Events:
    """Returns the clock and the ring of an instance."""
    own_clock = hybrid_clock.HybridClock()
    return Events(own_clock, ring.EventRing(settings, own_clock))
