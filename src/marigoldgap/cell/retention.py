"""Removes archived jobs from the store after a retention period."""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap.cell import job_tracker
from marigoldgap.cell import records
from marigoldgap.cell import store
from marigoldgap.cell import table_reader

_log = decision_log.DecisionLogger("retention")

# Maximum number of jobs that one transaction removes.
_JOBS_PER_TRANSACTION = 100


class Retention:
    """Removes archived jobs after the retention period.

    Reads one partition after the other, each once in a retention period, so an
    archived job is kept for one to two periods.

    Args:
        rows: The store.
        reader: Reads the tables.
        tracker: Tracks the jobs.
        retention_s: Retention period in seconds, in which callers can query an
            ended job.
    """

    def __init__(
        self,
        rows: store.Store,
        reader: table_reader.TableReader,
        tracker: job_tracker.JobTracker,
        retention_s: float,
    ) -> None:
        self._rows = rows
        self._reader = reader
        self._tracker = tracker
        self._retention_s = retention_s

    async def run(self) -> None:
        """Removes jobs after their retention period, until cancelled."""
        pause_s = self._retention_s / len(records.JOB_PARTITIONS)
        while True:
            for partition in records.JOB_PARTITIONS:
                await asyncio.sleep(pause_s)
                self._tracker.forget_archived(clock.now_s() - self._retention_s)
                await self._clean(partition)

    async def _clean(self, partition: str) -> None:
        page = await self._reader.read(records.ENDED, partition)
        before_ms = clock.wall_ms() - int(
            self._retention_s * clock.MILLISECONDS_PER_SECOND
        )
        expired = [row for row in page.rows if _ended_ms(row) < before_ms]
        for first in range(0, len(expired), _JOBS_PER_TRANSACTION):
            chunk = expired[first : first + _JOBS_PER_TRANSACTION]
            try:
                await self._rows.transact(
                    store.Transaction(
                        (), (), tuple(row.row_key for row in chunk)
                    )
                )
            except store.StoreError as error:
                # The next pass over this partition finds the same rows.
                _log.warning(
                    "removal_failed", partition=partition, cause=str(error)
                )
                return
            _log.info(
                "jobs_removed",
                count=len(chunk),
                partition=partition,
                retention_s=self._retention_s,
            )


def _ended_ms(row: store.Row) -> int:
    """Returns the wall time of the end; 0, so that it is removed, if invalid."""
    try:
        return records.decode_ended(row.value).ended_ms
    except errors.MarigoldgapError as error:
        _log.error("ended_row_unusable", job=row.row_key.key, cause=str(error))
        return 0
