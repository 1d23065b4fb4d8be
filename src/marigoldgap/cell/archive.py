"""Moves ended jobs out of the tables that a new leader reads.

An ended job is final, so its record and progress are replaced by a small row
that keeps the state for callers and refuses a second submission. These writes
do not check the election row: they are idempotent, and a job ends only by a
write that does check it.
"""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap.cell import job_tracker
from marigoldgap.cell import jobs
from marigoldgap.cell import records
from marigoldgap.cell import store

_log = decision_log.DecisionLogger("archive")

# Pause between two passes.
_INTERVAL_S = 1.0
# Pause as a multiple of the time of the latest call, so that a slow store has
# room for new jobs.
_PAUSE_FACTOR = 10.0
# The store allows 100 entries in a transaction; each job needs two.
_JOBS_PER_TRANSACTION = 45


class Archive:
    """Archives the ended jobs of a leader.

    Args:
        rows: The store.
        tracker: Tracks the jobs.
    """

    def __init__(
        self, rows: store.Store, tracker: job_tracker.JobTracker
    ) -> None:
        self._rows = rows
        self._tracker = tracker

    async def run(self) -> None:
        """Archives ended jobs until cancelled."""
        pause_s = _INTERVAL_S
        while True:
            await asyncio.sleep(pause_s)
            pause_s = _INTERVAL_S
            ended = self._tracker.archivable_jobs(clock.now_s())
            for first in range(0, len(ended), _JOBS_PER_TRANSACTION):
                started_s = clock.now_s()
                try:
                    await self._move(
                        ended[first : first + _JOBS_PER_TRANSACTION]
                    )
                except store.StoreError as error:
                    # The next pass finds the same jobs.
                    _log.warning("archive_failed", cause=str(error))
                    break
                took_s = clock.now_s() - started_s
                pause_s = max(pause_s, _PAUSE_FACTOR * took_s)
                await asyncio.sleep(took_s)

    async def _move(self, ended: list[jobs.Job]) -> None:
        transaction = store.Transaction(
            (),
            tuple(
                (
                    records.ended_row_key(job.job_id),
                    records.encode_ended(job.state, clock.wall_ms()),
                )
                for job in ended
            ),
            tuple(records.job_row_key(job.job_id) for job in ended),
        )
        await self._rows.transact(transaction)
        for job in ended:
            self._tracker.archive(job)
        _log.info("jobs_archived", count=len(ended))
