"""Decides which requests an instance still serves while it shuts down."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.cell import deadlines

# Callers are still routed to the instance until two readiness probes, one each
# second, have failed.
_MIN_DRAIN_S = 2.5
# Part of the shutdown time that is left for sending the last answers and for
# the end of the process.
_EXIT_MARGIN_S = 1.0
# Time from the decision about a request to its response.
_RESPONSE_S = 0.05
# Longest time that a submission with the usual deadline takes. A caller whose
# request arrives later is served sooner by another instance.
_SUBMISSION_S = deadlines.submission_wait_s(deadlines.DEFAULT_S) + _RESPONSE_S


class ShutdownSchedule(NamedTuple):
    """Times of a graceful shutdown.

    Attributes:
        started_s: Monotonic time in seconds at which it was requested.
        shutdown_s: Seconds after which the process is killed.
    """

    started_s: float
    shutdown_s: float

    @property
    def answers_until_s(self) -> float:
        """Monotonic time at which every request must have been answered."""
        return self.started_s + self.shutdown_s - _EXIT_MARGIN_S

    def accepts(self, now: float) -> bool:
        """Returns whether a request that arrives now is still handled."""
        return now < self.answers_until_s - _SUBMISSION_S

    def is_complete(self, now: float, is_idle: bool) -> bool:
        """Returns whether the instance may end.

        Args:
            now: Current monotonic time in seconds.
            is_idle: Whether nothing is in progress.
        """
        if now >= self.answers_until_s:
            return True
        return is_idle and now - self.started_s > _MIN_DRAIN_S
