"""Estimates the time that a new request would wait."""

from __future__ import annotations

# Weight of the newest interval in the exponential moving average.
_SMOOTHING_WEIGHT = 0.05
# An interval counts as at most this many times the average: a pause of this
# process also makes an interval long, but says nothing about the workers.
_MAX_INTERVAL_FACTOR = 10
# An estimate from fewer starts is too uncertain to refuse requests for it.
_MIN_STARTS = 50


class WaitEstimate:
    """Averages the time between starts of waiting requests by service."""

    def __init__(self) -> None:
        self._average_interval_ms: dict[str, float] = {}
        self._last_start_ms: dict[str, int] = {}
        self._starts: dict[str, int] = {}

    def record_start(self, service: str, now_ms: int) -> None:
        """Records the start of a waiting request."""
        last_ms = self._last_start_ms.get(service)
        self._last_start_ms[service] = now_ms
        if last_ms is None:
            return
        interval = float(now_ms - last_ms)
        average = self._average_interval_ms.get(service, interval)
        interval = min(interval, _MAX_INTERVAL_FACTOR * average + 1)
        self._average_interval_ms[service] = average + _SMOOTHING_WEIGHT * (
            interval - average
        )
        self._starts[service] = self._starts.get(service, 0) + 1

    def record_idle(self, service: str) -> None:
        """Records that no request waits.

        The interval until the next start is then not measured.
        """
        self._last_start_ms.pop(service, None)

    def wait_ms(self, service: str, ahead: int) -> float | None:
        """Returns the milliseconds in which `ahead` starts are expected.

        Returns:
            None if too few starts were recorded for an estimate.
        """
        if self._starts.get(service, 0) < _MIN_STARTS:
            return None
        return self._average_interval_ms[service] * ahead
