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
# Time for which a tombstone is kept at least: the store may perform a write
# without an answer seconds later.
_MIN_TOMBSTONE_S = 30.0


def kept_s(archived: records.ArchivedJob, retention_s: float) -> float:
    """Returns for how many seconds an archived job or a tombstone is kept.

    Args:
        archived: The job or tombstone.
        retention_s: Retention period in seconds.
    """
    if archived.is_tombstone:
        return max(retention_s, _MIN_TOMBSTONE_S)
    return retention_s


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
        now_ms = clock.wall_ms()
        expired = [row for row in page.rows if self._is_expired(row, now_ms)]
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

    def _is_expired(self, row: store.Row, now_ms: int) -> bool:
        """Returns whether a row is removed, as an invalid one is."""
        try:
            archived = records.decode_ended(row.value)
        except errors.MarigoldgapError as error:
            _log.error(
                "ended_row_unusable", job=row.row_key.key, cause=str(error)
            )
            return True
        age_ms = now_ms - archived.ended_ms
        kept_ms = (
            kept_s(archived, self._retention_s) * clock.MILLISECONDS_PER_SECOND
        )
        return age_ms > kept_ms
