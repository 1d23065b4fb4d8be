"""Chooses where an instance follows the configuration from.

The load that it answers is a large change: if every instance reads it from the
store, its bytes cross the link between the regions once for each instance. One
instance of an availability zone, its reader, reads them from the store and hands
them on. Whoever it is, the age of a configuration says what it is worth: an
instance whose reader is slow, lags behind or has ended asks the store itself.
"""

from __future__ import annotations

import enum

# Share of the time in which a change must be in force that a configuration may be
# old after an answer of the reader.
_MAX_AGE_SHARE = 0.6
# Interval at which a reader examines whether another instance has replaced it.
_REVIEW_INTERVAL_S = 30.0
# Pause between two attempts to find or become the reader.
_SEARCH_INTERVAL_S = 2.0
# Time for which a reader that failed is not used again.
_FAILED_S = 10.0


class Source(enum.Enum):
    """Where the next answer is requested."""

    STORE = enum.auto()
    READER = enum.auto()


class ReaderChoice:
    """Knows the reader of the zone and whether it is used.

    Args:
        own_name: Name of this instance.
        apply_s: Seconds within which a change must be in force.
    """

    def __init__(self, own_name: str, apply_s: float) -> None:
        self._own_name = own_name
        self._max_age_s = _MAX_AGE_SHARE * apply_s
        # Name of the reader; empty while it is not known.
        self._reader = ""
        self._failed_until_s: dict[str, float] = {}
        self._next_search_s = 0.0

    @property
    def reader(self) -> str:
        """Name of the reader; empty while it is not known."""
        return self._reader

    @property
    def is_reader(self) -> bool:
        """Whether this instance is the reader of its zone."""
        return self._reader == self._own_name

    def source(self, is_leader: bool) -> Source:
        """Returns where the next answer is requested.

        Args:
            is_leader: Whether this instance decides by the configuration what
                starts, and needs it as early as possible.
        """
        if is_leader or not self._reader or self.is_reader:
            return Source.STORE
        return Source.READER

    def is_helpful(self, age_s: float) -> bool:
        """Returns whether the reader is kept after its answer.

        Args:
            age_s: Seconds since the configuration was confirmed.
        """
        return age_s <= self._max_age_s

    def should_search(self, now: float) -> bool:
        """Returns whether the row that names the reader is to be read now."""
        if now < self._next_search_s:
            return False
        return not self._reader or self.is_reader

    def on_search(self, now: float) -> None:
        """Notes that the row is being read."""
        self._next_search_s = now + _SEARCH_INTERVAL_S

    def may_use(self, name: str, now: float) -> bool:
        """Returns whether an instance that is named as the reader is used."""
        return (
            name != self._own_name
            and self._failed_until_s.get(name, now) <= now
        )

    def on_found(self, name: str, now: float) -> None:
        """Uses a reader, possibly this instance."""
        self._reader = name
        self._failed_until_s.clear()
        if self.is_reader:
            self._next_search_s = now + _REVIEW_INTERVAL_S

    def on_failed(self, now: float) -> None:
        """Drops the reader: it did not answer, lags behind or was replaced."""
        self._failed_until_s[self._reader] = now + _FAILED_S
        self._reader = ""
        self._next_search_s = now
