"""Estimate of the time that a new request would wait."""

from __future__ import annotations

# Weight of the newest interval in the moving average.
_WEIGHT = 0.05
# A pause of this process says nothing about the workers; an interval counts as
# at most so many times the average.
_LARGEST_STEP = 10
# Fewer starts than this say too little to refuse work because of them.
_ENOUGH_STARTS = 50


class WaitEstimate:
    """Follows how often waiting requests of each service start."""

    def __init__(self) -> None:
        self._interval_ms: dict[str, float] = {}
        self._last_ms: dict[str, int] = {}
        self._starts: dict[str, int] = {}

    def note_start(self, service: str, now_ms: int) -> None:
        """Notes that a waiting request was started."""
        last_ms = self._last_ms.get(service)
        self._last_ms[service] = now_ms
        if last_ms is None:
            return
        interval = float(now_ms - last_ms)
        average = self._interval_ms.get(service, interval)
        interval = min(interval, _LARGEST_STEP * average + 1)
        self._interval_ms[service] = average + _WEIGHT * (interval - average)
        self._starts[service] = self._starts.get(service, 0) + 1

    def note_idle(self, service: str) -> None:
        """Notes that nothing waits, so the next interval says nothing."""
        self._last_ms.pop(service, None)

    def wait_ms(self, service: str, ahead: int) -> float | None:
        """Returns the expected wait behind `ahead` requests, or None.

        None means that too few starts were seen for an estimate.
        """
        if self._starts.get(service, 0) < _ENOUGH_STARTS:
            return None
        return self._interval_ms[service] * ahead
