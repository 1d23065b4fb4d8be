"""Hybrid logical clock: wall time that never contradicts causality."""

from __future__ import annotations

from collections.abc import Callable

from marigoldgap import clock
from marigoldgap import logs

_log = logs.PartLogger("events")

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1
# A peer whose clock is further ahead must not drag all other clocks along.
_LARGEST_LEAD_MS = 60_000


class HybridClock:
    """Gives increasing times, as one integer: milliseconds and a counter.

    An event that a message caused gets a later time than the sending of the
    message, whatever the wall clocks of the instances say.

    Args:
        wall_ms: Wall clock in milliseconds since the epoch.
    """

    def __init__(self, wall_ms: Callable[[], int] = clock.wall_ms) -> None:
        self._wall_ms = wall_ms
        self._last = 0
        self._refused = 0

    @property
    def refused(self) -> int:
        """How many received times were too far ahead."""
        return self._refused

    def now(self) -> int:
        """Returns the time of an event here, later than all earlier ones."""
        self._last = max(self._last + 1, from_ms(self._wall_ms()))
        return self._last

    def observe(self, value: int) -> None:
        """Notes the time of a received message."""
        if to_ms(value) > self._wall_ms() + _LARGEST_LEAD_MS:
            self._refused += 1
            if self._refused == 1:
                _log.warning("The clock of a peer is over a minute ahead")
            return
        self._last = max(self._last, value)


def from_ms(wall_ms: int) -> int:
    """Returns the first time of a millisecond."""
    return wall_ms << _COUNTER_BITS


def to_ms(value: int) -> int:
    """Returns the milliseconds since the epoch of a time."""
    return value >> _COUNTER_BITS


def counter_of(value: int) -> int:
    """Returns the counter of a time, which orders events of a millisecond."""
    return value & _COUNTER_MASK
