"""Workers of earlier elections whose runs are not known yet.

Tasks that may run on them are not started again before the workers have answered, or
the leases of earlier leaders have ended.
"""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap.cell import fleet
from marigoldgap.cell import former_leader
from marigoldgap.cell import leadership as leaderships
from marigoldgap.cell import model
from marigoldgap.cell import roster as rosters
from marigoldgap.cell import store

# Capacity of a worker that is not known; only limits depend on it.
_UNKNOWN_CAPACITY = model.Demand(*[model.MAX_INTEGER] * 3)


class InheritedWorkers:
    """Knows which workers may have runs that are not known.

    It grows with the rows of the roster.

    Args:
        leadership: The current leadership.
        workers: The workers with a session.
        roster: Removes rows that cannot be read.
        former: What is known of the former leader.
    """

    def __init__(
        self,
        leadership: leaderships.Leadership,
        workers: fleet.Fleet,
        roster: rosters.Roster,
        former: former_leader.FormerLeader,
    ) -> None:
        self._leadership = leadership
        self._workers = workers
        self._roster = roster
        self._former = former
        self._pending: set[str] = set()

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._pending

    def __bool__(self) -> bool:
        return bool(self._pending)

    def add(self, worker_id: str) -> None:
        """Adds a worker."""
        self._pending.add(worker_id)

    def discard(self, worker_id: str) -> None:
        """Removes a worker whose runs are known, or that is gone."""
        self._pending.discard(worker_id)

    def add_unreadable(self, row_key: store.RowKey) -> None:
        """Adds a worker whose row of the roster cannot be read.

        It is known once it registers. Otherwise its runs end with their leases, and
        the row is removed.
        """
        self.add(row_key.key)
        self._leadership.spawn_contained(
            "roster", row_key.key, lambda: self._remove_unreadable(row_key)
        )

    def lease_s(self, worker_id: str) -> float:
        """Returns for how many seconds an earlier leader's lease may last."""
        if worker_id not in self._pending:
            return 0.0
        return max(0.0, self._former.leases_until_s - clock.now_s())

    def capacities(self) -> list[model.Demand]:
        """Returns the largest capacities of the workers."""
        pending = map(self._workers.get, self._pending)
        return [
            _UNKNOWN_CAPACITY if worker is None else worker.largest_capacity
            for worker in pending
        ]

    async def _remove_unreadable(self, row_key: store.RowKey) -> None:
        await asyncio.sleep(self.lease_s(row_key.key))
        if self._workers.get(row_key.key) is not None:
            return
        self.discard(row_key.key)
        self._roster.remove_row(row_key)
        self._leadership.request_plan()
