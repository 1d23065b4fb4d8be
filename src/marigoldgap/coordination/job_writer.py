"""Writes the coordinator's changes to job rows: start marks and closing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_rows
from marigoldgap.coordination import job_state
from marigoldgap.settings import model as settings_model
from marigoldgap.table_service import model as table_service_model

_log = logs.PartLogger("coordination")

_RETRY_DELAY_MS = 1_000
# Limit of concurrent writes; the group committer merges them into few commits.
_MAX_CONCURRENT_WRITES = 2_000


class JobWriter:
    """Writes the rows of open jobs, one write per job at a time.

    Args:
        settings: Settings of this instance.
        table: Reads rows again after a conflict.
        committer: Writes rows.
        closed: Called after the row of a job was moved or found missing.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        table: interfaces.TableClient,
        committer: interfaces.GroupCommitter,
        closed: Callable[[job_state.Job], None],
        now_ms: Callable[[], int],
    ) -> None:
        self._zone = settings.zone
        self._table = table
        self._committer = committer
        self._on_closed = closed
        self._now_ms = now_ms
        self._retry_at_ms: dict[str, int] = {}
        self._busy: dict[str, asyncio.Task[None]] = {}

    def is_busy(self, job_id: str) -> bool:
        """Whether a write of a job must wait.

        This is so while another one is in flight, while a failed one waits
        for its retry, and while too many jobs are being written.
        """
        if job_id in self._busy or len(self._busy) >= _MAX_CONCURRENT_WRITES:
            return True
        return self._retry_at_ms.get(job_id, 0) > self._now_ms()

    def close(self, job: job_state.Job) -> None:
        """Moves the row of a complete job to the closed ones, unless busy."""
        if not self.is_busy(job.job_id):
            self._spawn(job, self._close(job))

    def raise_mark(self, job: job_state.Job, mark: int) -> None:
        """Raises the start mark in the row to an index, unless busy."""
        if not self.is_busy(job.job_id):
            self._spawn(job, self._write_mark(job, mark))

    def lower_mark(self, job: job_state.Job, mark: int) -> None:
        """Lowers the start mark in the row to an index, unless busy.

        The lower mark takes effect in memory before the write, so that no
        task above it starts while the write is in flight or if its outcome
        is unknown.
        """
        if not self.is_busy(job.job_id):
            job.start_mark = mark
            self._spawn(job, self._write_mark(job, mark))

    async def mark_cancelled(self, job: job_state.Job) -> None:
        """Records in the row that the job is cancelled.

        Raises:
            errors.StoreUnavailableError: The row was not written.
            errors.ConflictError: The row was changed by another write.
        """
        busy = self._busy.get(job.job_id)
        if busy is not None:
            await asyncio.wait([busy])
        job.row_version = await self._committer.commit(
            job_rows.mark_transaction(self._zone, job, job.start_mark, True)
        )

    def stop(self) -> None:
        """Cancels all writes at the end of the term."""
        for task in self._busy.values():
            task.cancel()

    def _spawn(
        self, job: job_state.Job, work: Coroutine[Any, Any, None]
    ) -> None:
        """Runs the single write in flight of a job."""
        task = asyncio.create_task(self._run_write(job, work))
        self._busy[job.job_id] = task
        task.add_done_callback(lambda _: self._busy.pop(job.job_id, None))

    async def _run_write(
        self, job: job_state.Job, work: Coroutine[Any, Any, None]
    ) -> None:
        """Awaits a write and sets the time of the retry if it fails."""
        try:
            await work
        except errors.ConflictError:
            await self._read_again(job)
        except errors.MarigoldgapError as error:
            _log.debug(
                "Row of job %s was not written: %s", job.job_id, error.detail
            )
        except Exception:
            _log.exception("Writing the row of job %s failed.", job.job_id)
        else:
            return
        self._retry_at_ms[job.job_id] = self._now_ms() + _RETRY_DELAY_MS

    async def _close(self, job: job_state.Job) -> None:
        """Moves the row of a job to the closed ones in one transaction."""
        await self._committer.commit(
            job_rows.close_transaction(self._zone, job, clock.wall_ms())
        )
        self._report_closed(job)

    async def _write_mark(self, job: job_state.Job, mark: int) -> None:
        """Writes the start mark; the tasks may start only afterwards."""
        transaction = job_rows.mark_transaction(
            self._zone, job, start_mark=mark, cancelled=False
        )
        job.row_version = await self._committer.commit(transaction)
        job.start_mark = mark

    async def _read_again(self, job: job_state.Job) -> None:
        """Reads the row's version after a conflict; the row may be gone."""
        key = job_rows.open_key(self._zone, job.job_id)
        try:
            row: table_service_model.Row | None = await self._table.get(key)
        except errors.MarigoldgapError:
            return
        if row is None:
            self._report_closed(job)
        else:
            job.row_version = row.version

    def _report_closed(self, job: job_state.Job) -> None:
        """Reports that the row is no longer among the open ones."""
        self._retry_at_ms.pop(job.job_id, None)
        self._on_closed(job)
