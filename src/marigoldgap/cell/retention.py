"""Removes ended jobs from the store after a retention period."""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap.cell import job_tracker
from marigoldgap.cell import leadership as leaderships
from marigoldgap.cell import records
from marigoldgap.cell import store

_log = decision_log.DecisionLogger("retention")

# Interval between two passes, unless the retention period is shorter.
_INTERVAL_S = 5.0
# Maximum number of jobs that one transaction removes.
_JOBS_PER_TRANSACTION = 50


class Retention:
    """Removes ended jobs after the retention period.

    Args:
        rows: The store.
        leadership: The current leadership.
        tracker: Tracks the jobs.
        retention_s: Retention period in seconds, in which callers can query an
            ended job.
    """

    def __init__(
        self,
        rows: store.Store,
        leadership: leaderships.Leadership,
        tracker: job_tracker.JobTracker,
        retention_s: float,
    ) -> None:
        self._rows = rows
        self._leadership = leadership
        self._tracker = tracker
        self._retention_s = retention_s

    async def run(self) -> None:
        """Removes jobs after their retention period, until cancelled."""
        while True:
            await asyncio.sleep(min(_INTERVAL_S, self._retention_s))
            for job_ids in self._removable():
                try:
                    await self._remove(job_ids)
                except store.StoreError as error:
                    # The next pass finds the same jobs.
                    _log.warning("removal_failed", cause=str(error))
                    break

    def _removable(self) -> list[list[str]]:
        """Returns the ids of the jobs to remove now, grouped by partition."""
        before_s = clock.now_s() - self._retention_s
        groups: dict[str, list[str]] = {}
        for job in self._tracker.jobs.values():
            if job.is_stored and job.ended_s < before_s:
                partition = records.job_row_key(job.job_id).partition
                groups.setdefault(partition, []).append(job.job_id)
        return [ids[:_JOBS_PER_TRANSACTION] for ids in groups.values()]

    async def _remove(self, job_ids: list[str]) -> None:
        row_keys = tuple(records.job_row_key(job_id) for job_id in job_ids)
        await self._rows.transact(store.Transaction((), (), row_keys))
        for job_id in job_ids:
            self._tracker.forget(job_id)
        _log.info(
            "jobs_removed", count=len(job_ids), retention_s=self._retention_s
        )
