"""Time limit of calls to a server that may be slow, silent or lossy.

A call that is given up may still be in the queue of a slow server, and its
repetition adds to that queue; a lost answer, on the other hand, never arrives.
The limit therefore follows how long answers take.
"""

from __future__ import annotations

# Shortest limit: a crossing between regions (40 ms) and one retransmission of
# a lost packet (200 ms).
_SHORTEST_S = 0.3
# Callers of the platform wait 3 s for an answer; a call ends before that.
_LONGEST_S = 2.6
# Limit while nothing was answered yet: a server that starts.
_FIRST_S = 1.0
# Limit as a multiple of the slowest recent answer.
_SLOWEST_FACTOR = 8.0
# Calls without answers in a row that are taken as lost answers.
_LOST_ANSWERS = 2
# Limit after further ones, as a multiple of the latest.
_SILENCE_FACTOR = 2.0
# Part of the slowest recent answer that remains after each further answer.
_DECAY = 0.8


class CallLimit:
    """Follows how long answers take; all times in seconds."""

    def __init__(self) -> None:
        self._slowest_s = _FIRST_S / _SLOWEST_FACTOR
        self._silences = 0

    @property
    def limit_s(self) -> float:
        """How long to wait for the next answer."""
        limit_s = _SLOWEST_FACTOR * self._slowest_s
        return min(max(limit_s, _SHORTEST_S), _LONGEST_S)

    def note_answer(self, took_s: float) -> None:
        """Learns from an answer."""
        self._silences = 0
        self._slowest_s = max(took_s, _DECAY * self._slowest_s)

    def note_alive(self) -> None:
        """Learns that the server answers, of a call that it may hold back."""
        self._silences = 0

    def note_silence(self, waited_s: float) -> None:
        """Learns from a call that was given up.

        The first ones may be lost answers; several in a row show a server that
        has become slow.
        """
        self._silences += 1
        if self._silences > _LOST_ANSWERS:
            expected_s = _SILENCE_FACTOR * waited_s / _SLOWEST_FACTOR
            self._slowest_s = max(self._slowest_s, expected_s)
