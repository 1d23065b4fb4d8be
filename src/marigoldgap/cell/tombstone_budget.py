"""Limits the tombstones that an instance writes for jobs that are not stored."""

from __future__ import annotations

# Tombstones that may be written at once, such as after an outage of the store:
# callers give up many jobs whose submission had no answer.
_BURST = 100.0
# Further tombstones per second.
_RATE_PER_S = 1.0


class TombstoneBudget:
    """A token bucket.

    Load: callers that cancel many identifiers of which no job was ever stored.
    Each tombstone is a write and a row of the store, which the retention removes. If
    it keeps rows for up to 240 s, an instance has at most 340. Cancellations of
    stored jobs are not limited.

    Args:
        now: Current monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._tokens = _BURST
        self._updated_s = now

    def take(self, now: float) -> bool:
        """Counts one tombstone; returns whether it may be written.

        Args:
            now: Current monotonic time in seconds.
        """
        earned = max(0.0, now - self._updated_s) * _RATE_PER_S
        self._tokens = min(_BURST, self._tokens + earned)
        self._updated_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
