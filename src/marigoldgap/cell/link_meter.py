"""Measures how much of its link an instance uses."""

from __future__ import annotations

_BYTES_PER_MEGABIT = 125_000
# Shortest time over which the rate is averaged: workers answer once a second.
_WINDOW_S = 1.0


class LinkMeter:
    """Averages the rate in the busier direction of the link.

    Args:
        link_mbps: Rate of the link in Mbit/s; 0 if unknown.
    """

    def __init__(self, link_mbps: float) -> None:
        self._bytes_per_s = link_mbps * _BYTES_PER_MEGABIT
        self._counted: tuple[float, int, int] | None = None
        self._share = 0.0

    def share(self, now: float, received_bytes: int, sent_bytes: int) -> float:
        """Returns the share of the link that is in use; 0 if its rate is unknown.

        Args:
            now: Current monotonic time in seconds.
            received_bytes: Bytes received since the process started.
            sent_bytes: Bytes sent since the process started.
        """
        if not self._bytes_per_s:
            return 0.0
        if self._counted is None:
            self._counted = (now, received_bytes, sent_bytes)
        since_s, received_before, sent_before = self._counted
        elapsed_s = now - since_s
        if elapsed_s >= _WINDOW_S:
            busier = max(
                received_bytes - received_before, sent_bytes - sent_before
            )
            self._share = busier / elapsed_s / self._bytes_per_s
            self._counted = (now, received_bytes, sent_bytes)
        return self._share
