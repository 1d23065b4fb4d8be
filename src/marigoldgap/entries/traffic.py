"""Byte counters of a link and the byte budget of an instance."""

from __future__ import annotations

from marigoldgap import clock
from marigoldgap.entries import registry

# Unused budget is kept for this long, so that a burst after a quiet time,
# e.g. the reports of a new term, does not delay digests at once.
_BURST_S = 2


class LinkTraffic:
    """Bytes that one link carried, by class of traffic."""

    def __init__(self) -> None:
        self.sent = dict.fromkeys(registry.Traffic, 0)
        self.received = dict.fromkeys(registry.Traffic, 0)
        self.messages_sent = 0
        self.messages_received = 0

    def count_sent(self, kind: registry.Traffic, size: int) -> None:
        """Counts a sent frame of `size` bytes."""
        self.sent[kind] += size
        self.messages_sent += 1

    def count_received(self, kind: registry.Traffic, size: int) -> None:
        """Counts a received frame of `size` bytes."""
        self.received[kind] += size
        self.messages_received += 1


class ByteBudget:
    """Token bucket for the control traffic that an instance sends.

    Control messages are always charged and never delayed; digests ask
    first, so they are what waits when the budget is exhausted.

    Args:
        bytes_per_s: The rate that is allowed over a longer time.
        now_ms: Monotonic time of the start.
    """

    def __init__(self, bytes_per_s: int, now_ms: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._level = float(bytes_per_s)
        self._updated_ms = now_ms
        self.delayed_digests = 0

    def charge(self, size: int, now_ms: int) -> None:
        """Takes `size` bytes; the level may become negative."""
        self._refill(now_ms)
        self._level -= size

    def allows_digest(self, now_ms: int) -> bool:
        """Whether a digest may be sent now; counts a refusal."""
        self._refill(now_ms)
        if self._level > 0:
            return True
        self.delayed_digests += 1
        return False

    def _refill(self, now_ms: int) -> None:
        """Adds what accrued since the last call, up to the burst."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        accrued = self._bytes_per_s * elapsed_ms / clock.MILLISECONDS_PER_SECOND
        self._level = min(self._level + accrued, self._bytes_per_s * _BURST_S)
