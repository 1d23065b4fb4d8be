"""Decides what the refusals of a leader's fencing token prove.

That another instance leads is proved by the election row, which each heartbeat of the
leader checks. A worker that refuses the token may have got a higher one from another
system, so it costs only itself. If no worker accepts the token, and most refuse it,
the leadership ends: either the store does not answer this leader any more and another
one was elected, or its token is too low and only a new election raises it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection

from marigoldgap.cell import rejoin

# Time for which a refusal counts: a worker that is given up is asked again within it.
_MAX_AGE_S = 1.5 * rejoin.MAX_PAUSE_S
# Interval between two counts, as thousands of workers may refuse at the same time.
_COUNT_INTERVAL_S = 0.1


class FenceRefusals:
    """Knows which workers have refused the fencing token lately.

    It has an entry for each worker at most.
    """

    def __init__(self) -> None:
        # Monotonic times of the latest refusals in seconds, by worker.
        self._refused_s: dict[str, float] = {}
        self._counted_s = float("-inf")

    def record(self, worker_id: str, now: float) -> bool:
        """Records a refusal.

        Args:
            worker_id: The worker.
            now: Current monotonic time in seconds.

        Returns:
            Whether the worker had not refused since it last accepted the token.
        """
        is_first = worker_id not in self._refused_s
        self._refused_s[worker_id] = now
        return is_first

    def is_refusing(self, worker_id: str) -> bool:
        """Returns whether a worker has not accepted the token since a refusal."""
        return worker_id in self._refused_s

    def forget(self, worker_id: str) -> None:
        """Records that a worker accepts the token or is no longer registered."""
        self._refused_s.pop(worker_id, None)

    def is_general(
        self,
        used_ids: Callable[[], Collection[str]],
        may_accept: Callable[[str], bool],
        now: float,
    ) -> bool:
        """Returns whether most workers refuse the token and no other may accept it.

        They are counted once in an interval; between, the answer is no.

        Args:
            used_ids: Returns all registered workers that this cell uses.
            may_accept: Returns whether a worker that has not refused lately
                accepts the token, or may do so once it answers.
            now: Current monotonic time in seconds.
        """
        if now - self._counted_s < _COUNT_INTERVAL_S:
            return False
        self._counted_s = now
        worker_ids = used_ids()
        refusing = 0
        for worker_id in worker_ids:
            refused_s = self._refused_s.get(worker_id, float("-inf"))
            if now - refused_s < _MAX_AGE_S:
                refusing += 1
            elif may_accept(worker_id):
                return False
        return 2 * refusing > len(worker_ids)
