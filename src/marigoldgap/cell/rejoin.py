"""Pauses between the sessions with a worker that stays unreachable."""

from __future__ import annotations

# Pause before the first new session with a worker that was given up; doubles
# with each further one up to the maximum, until the worker answers.
_INITIAL_PAUSE_S = 1.0
MAX_PAUSE_S = 8.0


class RejoinPauses:
    """Tracks the workers that were given up and have not answered since."""

    def __init__(self) -> None:
        # Next pause in seconds, by worker.
        self._next_s: dict[str, float] = {}

    def is_unreachable(self, worker_id: str) -> bool:
        """Returns whether a worker was given up and has not answered since."""
        return worker_id in self._next_s

    def give_up(self, worker_id: str) -> float:
        """Records that a worker was given up.

        Returns:
            The pause in seconds before the next session with it.
        """
        pause_s = self._next_s.get(worker_id, _INITIAL_PAUSE_S)
        self._next_s[worker_id] = min(2 * pause_s, MAX_PAUSE_S)
        return pause_s

    def forget(self, worker_id: str) -> None:
        """Records that a worker answers or is no longer registered."""
        self._next_s.pop(worker_id, None)
