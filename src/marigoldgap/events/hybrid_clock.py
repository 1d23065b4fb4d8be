"""Hybrid logical clock: wall clock time that respects causality."""

from __future__ import annotations

from collections.abc import Callable

from marigoldgap import clock
from marigoldgap import logs

_log = logs.PartLogger("events")

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1
# Times further ahead are ignored: one wrong clock must not advance the clocks
# of all peers.
_MAX_LEAD_MS = 60_000


class HybridClock:
    """Issues increasing times, each an integer of milliseconds and a counter.

    An event that is caused by a message gets a later time than the sending of
    the message, regardless of the wall clocks of the instances.

    Args:
        wall_ms: Wall clock in milliseconds since the epoch.
    """

    def __init__(self, wall_ms: Callable[[], int] = clock.wall_ms) -> None:
        self._wall_ms = wall_ms
        self._last = 0
        self._ignored = 0

    @property
    def ignored_count(self) -> int:
        """Number of received times that were ignored as too far ahead."""
        return self._ignored

    def now(self) -> int:
        """Returns a time later than all issued and observed ones."""
        self._last = max(self._last + 1, from_ms(self._wall_ms()))
        return self._last

    def observe(self, value: int) -> None:
        """Advances the clock to the time of a received message."""
        if to_ms(value) > self._wall_ms() + _MAX_LEAD_MS:
            self._ignored += 1
            if self._ignored == 1:
                _log.warning(
                    "Ignored a time of a peer that is over a minute ahead"
                )
            return
        self._last = max(self._last, value)


def from_ms(wall_ms: int) -> int:
    """Returns the first time within a millisecond since the epoch."""
    return wall_ms << _COUNTER_BITS


def to_ms(value: int) -> int:
    """Returns the milliseconds since the epoch that a time contains."""
    return value >> _COUNTER_BITS


def counter_of(value: int) -> int:
    """Returns the counter of a time; it orders times of one millisecond."""
    return value & _COUNTER_MASK
