"""Time limit of calls to a server that may be slow or silent.

A call that is given up may still be in the queue of a slow server, and its
repetition adds to that queue. A fixed limit therefore makes a slow server
slower, while a long one notices a silent connection late.
"""

from __future__ import annotations

# Limit while answers are quick: a lost packet is sent again within it.
_SHORTEST_S = 1.0
# Callers of the platform wait 3 s for an answer; a call ends before that.
_LONGEST_S = 2.6
# Limit as a multiple of the slowest recent answer.
_SLOWEST_FACTOR = 3.0
# Limit after a call without an answer, as a multiple of that call's time.
_SILENCE_FACTOR = 2.0
# Part of the slowest recent answer that remains after each further answer.
_DECAY = 0.9


class CallLimit:
    """Follows how long answers take; all times in seconds."""

    def __init__(self) -> None:
        self._slowest_s = 0.0

    @property
    def limit_s(self) -> float:
        """How long to wait for the next answer."""
        limit_s = _SLOWEST_FACTOR * self._slowest_s
        return min(max(limit_s, _SHORTEST_S), _LONGEST_S)

    def note_answer(self, took_s: float) -> None:
        """Learns from an answer."""
        self._slowest_s = max(took_s, _DECAY * self._slowest_s)

    def note_silence(self, waited_s: float) -> None:
        """Learns from a call that was given up or lost its connection."""
        expected_s = _SILENCE_FACTOR * waited_s / _SLOWEST_FACTOR
        self._slowest_s = max(self._slowest_s, expected_s)
