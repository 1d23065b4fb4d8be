"""Decides which requests an instance still serves while it shuts down."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.cell import deadlines

# Callers are still routed to the instance until two readiness probes, one each
# second, have failed.
_MIN_DRAIN_S = 2.5
# Part of the shutdown time that is left for sending the last answers and for
# the end of the process, and its largest share of a short shutdown.
_EXIT_MARGIN_S = 1.0
_MAX_EXIT_SHARE = 1 / 3
# Share of this part in which the last answers are sent.
_FLUSH_SHARE = 0.3
# Time from the decision about a request to its response.
_RESPONSE_S = 0.05
# Longest time that a submission with the usual deadline takes. A caller whose
# request arrives later is served sooner by another instance.
_SUBMISSION_S = deadlines.submission_wait_s(deadlines.DEFAULT_S) + _RESPONSE_S
# Largest share of the time for answers in which new requests are rejected:
# callers are still routed to the instance when it begins.
_MAX_REJECTING_SHARE = 0.6


class ShutdownSchedule(NamedTuple):
    """Times of a graceful shutdown.

    Attributes:
        started_s: Monotonic time in seconds at which the request for it was
            handled.
        shutdown_s: Seconds from the request until the process is killed.
        waited_s: Longest time for which the request may have waited before it
            was handled, in seconds.
    """

    started_s: float
    shutdown_s: float
    waited_s: float = 0.0

    @property
    def answers_until_s(self) -> float:
        """Monotonic time at which every request must have been answered."""
        return self.started_s - self.waited_s + self._answering_s

    @property
    def flush_s(self) -> float:
        """Seconds within which the last answers must have been sent."""
        return _FLUSH_SHARE * self._exit_margin_s

    @property
    def _exit_margin_s(self) -> float:
        return min(_EXIT_MARGIN_S, _MAX_EXIT_SHARE * self.shutdown_s)

    @property
    def _answering_s(self) -> float:
        return self.shutdown_s - self._exit_margin_s

    def accepts(self, now: float) -> bool:
        """Returns whether a request that arrives now is still handled."""
        rejecting_s = min(
            _SUBMISSION_S, _MAX_REJECTING_SHARE * self._answering_s
        )
        return now < self.answers_until_s - rejecting_s

    def is_complete(self, now: float, is_idle: bool) -> bool:
        """Returns whether the instance may end.

        Args:
            now: Current monotonic time in seconds.
            is_idle: Whether nothing is in progress.
        """
        if now >= self.answers_until_s:
            return True
        return is_idle and now - self.started_s > _MIN_DRAIN_S
