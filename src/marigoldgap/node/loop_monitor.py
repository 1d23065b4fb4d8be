"""Detects times in which the event loop did not run.

The loop runs late after a long callback, and after the process or its machine
was suspended. A signal that arrived meanwhile is handled only then.
"""

from __future__ import annotations

import asyncio

from marigoldgap import clock

# Interval at which the loop is observed.
_INTERVAL_S = 0.25
# Lateness that is not a delay; with the interval it is the longest time for
# which a signal can wait unnoticed.
_TOLERANCE_S = 0.25


class LoopMonitor:
    """Observes the delays of the event loop.

    Args:
        now: Current monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._last_s = now
        # Start of a delay that ended with the latest observation; None if that
        # was in time.
        self._delayed_from_s: float | None = None

    async def run(self) -> None:
        """Observes the loop until cancelled."""
        while True:
            self.observe(clock.now_s())
            await asyncio.sleep(_INTERVAL_S)

    def observe(self, now: float) -> None:
        """Records that the loop runs.

        Args:
            now: Current monotonic time in seconds.
        """
        self._delayed_from_s = self._last_s if self._is_late(now) else None
        self._last_s = now

    def longest_wait_s(self, now: float) -> float:
        """Returns how long an event that is handled now may have waited.

        Args:
            now: Current monotonic time in seconds.

        Returns:
            Seconds; 0 if the loop was not delayed just before.
        """
        if self._is_late(now):
            return now - self._last_s
        # The loop may have been observed before the event was handled.
        if self._delayed_from_s is not None:
            return now - self._delayed_from_s
        return 0.0

    def _is_late(self, now: float) -> bool:
        return now - self._last_s > _INTERVAL_S + _TOLERANCE_S
