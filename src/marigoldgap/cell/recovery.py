"""Restores the state of a cell from the store after an election.

The leader keeps its heartbeat and the leases of the workers while it reads, so
that a large state or a thin link ends neither its leadership nor the running
tasks.
"""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import containment
from marigoldgap.cell import job_tracker
from marigoldgap.cell import progress_rows
from marigoldgap.cell import records
from marigoldgap.cell import run_times
from marigoldgap.cell import store
from marigoldgap.cell import table_reader
from marigoldgap.cell import worker_tracker

_log = decision_log.DecisionLogger("recovery")

# A recovery that reads no page for this long ends the leadership. It is shorter
# than the leases that other instances would have to renew.
MAX_IDLE_S = 3.0
# Jobs that are restored before other tasks, such as the heartbeat, run again.
_JOBS_PER_TURN = 25


class RecoveryStalledError(errors.MarigoldgapError):
    """The state of the cell cannot be read from the store.

    Attributes:
        part: The part of the leader that failed.
    """

    code = "recovery-stalled"
    part = "recovery"


class Recovery:
    """Reads and restores the state of a cell once.

    Args:
        epoch: Number of the election, for the log.
        reader: Reads the tables.
        tracker: Receives the jobs.
        workers: Receives the workers of earlier elections.
        times: Receives the learned run times.
        versions: Receives the versions of the stored rows.
    """

    def __init__(
        self,
        epoch: int,
        reader: table_reader.TableReader,
        tracker: job_tracker.JobTracker,
        workers: worker_tracker.WorkerTracker,
        times: run_times.RunTimes,
        versions: dict[store.RowKey, int],
    ) -> None:
        self._epoch = epoch
        self._reader = reader
        self._tracker = tracker
        self._workers = workers
        self._times = times
        self._versions = versions
        self._started_s = clock.now_s()

    @property
    def is_stalled(self) -> bool:
        """Whether nothing was read for so long that another leader is better."""
        return self._reader.idle_s > MAX_IDLE_S

    async def run(self) -> int:
        """Restores workers, jobs and their progress.

        Returns:
            The version of the store as of which the jobs were read.
        """
        measures.RECOVERY_ATTEMPTS.inc()
        await self._restore_roster()
        progress_page, *job_pages = await asyncio.gather(
            self._reader.read(records.PROGRESS, records.CELL),
            *(
                self._reader.read(records.JOBS, partition)
                for partition in records.JOB_PARTITIONS
            ),
        )
        self._tracker.mark_complete(self._started_s)
        self._log_stage("tables_read")
        progress = progress_rows.group(progress_page.rows)
        job_rows = [row for page in job_pages for row in page.rows]
        for number, row in enumerate(job_rows):
            self._restore_job(row, progress.pop(row.row_key.key, None))
            if number % _JOBS_PER_TURN == 0:
                await asyncio.sleep(0)
        self._tracker.classify_inherited_jobs()
        self._drop_progress(progress)
        self._workers.restore_recorded_runs()
        self._workers.apply_deferred_listings()
        measures.RECOVERY_S.observe(clock.now_s() - self._started_s)
        self._log_stage("recovered")
        return min(page.version for page in job_pages)

    async def _restore_roster(self) -> None:
        """Starts the sessions with all workers that may have runs.

        Also restores the learned run times.
        """
        page, former, times = await asyncio.gather(
            self._reader.read(records.ROSTER, records.CELL),
            self._reader.read_row(records.FORMER_ROSTER),
            self._reader.read_row(records.TIMES),
        )
        # The objectives of the jobs, which are restored next, depend on them.
        self._restore_times(times)
        for row in page.rows:
            self._versions[row.row_key] = row.version
            self._inherit(row)
        if former is not None:
            self._versions[former.row_key] = former.version
            self._replace_former_roster(former)
        self._log_stage("roster_read")

    def _restore_job(
        self, row: store.Row, progress: progress_rows.StoredProgress | None
    ) -> None:
        try:
            with containment.contained("job", row.row_key.key):
                self._tracker.restore(row, progress)
        except errors.MarigoldgapError as error:
            _log.error(
                "job_row_unusable", job=row.row_key.key, cause=str(error)
            )

    def _replace_former_roster(self, row: store.Row) -> None:
        try:
            with containment.contained("roster", row.row_key.key):
                self._workers.replace_former_roster(
                    records.decode_former_roster(row.value)
                )
        except errors.MarigoldgapError as error:
            _log.error(
                "worker_row_unusable", worker=row.row_key.key, cause=str(error)
            )
            self._workers.inherited.add_unreadable(row.row_key)

    def _restore_times(self, row: store.Row | None) -> None:
        """Restores the learned run times; without them, declared ones count."""
        if row is None:
            return
        self._versions[row.row_key] = row.version
        try:
            with containment.contained("run_times", row.row_key.key):
                self._times.restore(row.value)
        except errors.MarigoldgapError as error:
            _log.error("times_row_unusable", cause=str(error))

    def _inherit(self, row: store.Row) -> None:
        try:
            with containment.contained("roster", row.row_key.key):
                self._workers.inherit(records.decode_roster_row(row))
        except errors.MarigoldgapError as error:
            _log.error(
                "worker_row_unusable", worker=row.row_key.key, cause=str(error)
            )
            self._workers.inherited.add_unreadable(row.row_key)

    def _drop_progress(
        self, orphans: dict[str, progress_rows.StoredProgress]
    ) -> None:
        """Removes progress of jobs whose record an earlier leader removed."""
        for job_id, stored in orphans.items():
            self._tracker.remove_progress(job_id, stored)

    def _log_stage(self, stage: str) -> None:
        _log.info(
            stage,
            epoch=self._epoch,
            took_s=round(clock.now_s() - self._started_s, 3),
            jobs=len(self._tracker.jobs),
            workers=len(self._workers.workers),
            pages=self._reader.page_count,
            rows=self._reader.row_count,
            bytes=self._reader.byte_count,
            failed_calls=self._reader.failure_count,
        )
