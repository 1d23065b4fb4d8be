"""Adaptive timeout of calls to a server that may be slow or unreachable.

A call that timed out may still be in the queue of a slow server, where a retry
adds to the load; waiting longer for a lost response is useless. The timeout
therefore follows the measured response times.
"""

from __future__ import annotations

# Covers one trip between regions (40 ms) and one retransmission of a lost
# packet (200 ms).
_MIN_TIMEOUT_S = 0.3
# Callers of the platform wait 3 s for a response; a call ends before that.
_MAX_TIMEOUT_S = 2.6
# Used before the first response; the server may be starting.
_INITIAL_TIMEOUT_S = 1.0
# Timeout as a multiple of the slowest recent response time.
_TIMEOUT_FACTOR = 8.0
# Consecutive timeouts that are attributed to lost responses.
_TOLERATED_TIMEOUTS = 2
# Factor by which each further timeout in a row raises the timeout.
_BACKOFF_FACTOR = 2.0
# Factor by which each faster response lowers the slowest recent response time.
_DECAY_FACTOR = 0.8


class AdaptiveTimeout:
    """Derives the timeout of the next call from recent response times."""

    def __init__(self) -> None:
        self._slowest_s = _INITIAL_TIMEOUT_S / _TIMEOUT_FACTOR
        self._consecutive_timeouts = 0

    @property
    def timeout_s(self) -> float:
        """Timeout of the next call in seconds."""
        timeout_s = _TIMEOUT_FACTOR * self._slowest_s
        return min(max(timeout_s, _MIN_TIMEOUT_S), _MAX_TIMEOUT_S)

    def record_response(self, response_time_s: float) -> None:
        """Records a response.

        Args:
            response_time_s: Response time in seconds.
        """
        self._consecutive_timeouts = 0
        self._slowest_s = max(response_time_s, _DECAY_FACTOR * self._slowest_s)

    def record_held_response(self) -> None:
        """Records the response to a call that the server may hold open.

        Its response time says nothing about the speed of the server.
        """
        self._consecutive_timeouts = 0

    def record_timeout(self, waited_s: float) -> None:
        """Records a call that timed out.

        The first timeouts in a row may be due to lost responses; further ones
        show that the server has become slow, so they raise the next timeout.

        Args:
            waited_s: Time until the call was given up, in seconds.
        """
        self._consecutive_timeouts += 1
        if self._consecutive_timeouts > _TOLERATED_TIMEOUTS:
            expected_s = _BACKOFF_FACTOR * waited_s / _TIMEOUT_FACTOR
            self._slowest_s = max(self._slowest_s, expected_s)
