"""Byte counters of a link and the byte budget of an instance."""

from __future__ import annotations

from marigoldgap import clock
from marigoldgap.entries import registry

# Size of the token bucket as a time at the full rate. A burst after a quiet
# time, e.g. the reports of a new term, then does not delay digests at once.
_MAX_BURST_S = 2


class LinkTraffic:
    """Bytes and messages that one link carried, bytes by traffic class."""

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

    Control messages are always charged and never delayed. Digests are sent
    only if `allows_digest` returns true, so that only they wait when the
    budget is exhausted.

    Args:
        bytes_per_s: Allowed average rate.
        now_ms: Monotonic time of the start.

    Attributes:
        delayed_digests: Number of times that a digest was refused.
    """

    def __init__(self, bytes_per_s: int, now_ms: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._available_bytes = float(bytes_per_s)
        self._updated_ms = now_ms
        self.delayed_digests = 0

    def charge(self, size: int, now_ms: int) -> None:
        """Takes `size` bytes from the budget, which may become negative."""
        self._refill(now_ms)
        self._available_bytes -= size

    def allows_digest(self, now_ms: int) -> bool:
        """Whether a digest may be sent now; counts a refusal."""
        self._refill(now_ms)
        if self._available_bytes > 0:
            return True
        self.delayed_digests += 1
        return False

    def _refill(self, now_ms: int) -> None:
        """Adds the bytes accrued since the last call, up to the burst size."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        accrued = self._bytes_per_s * elapsed_ms / clock.MILLISECONDS_PER_SECOND
        self._available_bytes = min(
            self._available_bytes + accrued, self._bytes_per_s * _MAX_BURST_S
        )
