"""Cancels jobs, including those whose submission may still take effect.

A write of a submission without an answer may be performed seconds later, if its
conditions still hold. So a cancellation that finds no job leaves a tombstone: a row
that makes these conditions fail. Only then it is acknowledged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import deadlines
from marigoldgap.cell import model
from marigoldgap.cell import records
from marigoldgap.cell import store
from marigoldgap.cell import stored_jobs
from marigoldgap.cell import tombstone_budget

_log = decision_log.DecisionLogger("jobs")

# Part of the caller's deadline that is reserved for the delivery of the answer.
_ANSWER_MARGIN_S = 0.15


class JobCancelledError(errors.MarigoldgapError):
    """The job was cancelled before it was stored; it never runs."""

    code = "job-cancelled"
    status = 410
    ran = errors.Ran.NO


class TooManyTombstonesError(errors.OverloadedError):
    """Too many jobs that are not stored were cancelled; nothing was done."""

    code = "tombstone-limit"


def check_not_cancelled(job_id: str, rows: tuple[store.Row, ...]) -> None:
    """Checks that a submission was not refused by the tombstone of its job.

    Args:
        job_id: The job.
        rows: Rows that made the conditions of its submission fail.

    Raises:
        JobCancelledError: One of them is the tombstone.
    """
    row_key = records.ended_row_key(job_id)
    for row in rows:
        if row.row_key != row_key:
            continue
        try:
            archived = records.decode_ended(row.value)
        except records.RecordError as error:
            _log.error("ended_row_unusable", job=job_id, cause=str(error))
            continue
        if archived.is_tombstone:
            raise JobCancelledError(
                f"job {job_id} was cancelled before it was stored"
            )


class Cancellation:
    """Cancels jobs on behalf of callers.

    Args:
        rows: The store.
        stored: Reads the rows of jobs.
        notify: Notifies the leader of a changed job: its record and the version
            of its row.
    """

    def __init__(
        self,
        rows: store.Store,
        stored: stored_jobs.StoredJobs,
        notify: Callable[[model.JobRecord, int], None],
    ) -> None:
        self._rows = rows
        self._stored = stored
        self._notify = notify
        self._budget = tombstone_budget.TombstoneBudget(clock.now_s())

    async def cancel(self, job_id: str, deadline_s: float) -> None:
        """Cancels a job; idempotent.

        Args:
            job_id: The job.
            deadline_s: Time for which the caller waits, in seconds.

        Raises:
            JobGoneError: No such job exists, and no earlier submission of it can
                take effect any more.
            TooManyTombstonesError: No such job exists at present.
            RecordError: A row of the job cannot be decoded.
            StoreError: The store does not answer; the job may be cancelled.
        """
        until_s = clock.now_s() + deadline_s - _ANSWER_MARGIN_S
        is_counted = False
        while True:
            try:
                row = await self._stored.find(job_id)
                if row is not None:
                    await self._cancel_stored(job_id, row)
                    return
                archived = await self._stored.find_archived(job_id)
                if archived is None:
                    if not is_counted:
                        self._count_tombstone(job_id)
                        is_counted = True
                    await self._store_tombstone(job_id)
                elif not archived.is_tombstone:
                    # A job that has ended needs no cancellation.
                    _log.info("cancel_of_ended_job", job=job_id)
                    return
            except store.StoreError:
                if clock.now_s() >= until_s:
                    raise
                await asyncio.sleep(deadlines.RETRY_PAUSE_S)
            else:
                raise stored_jobs.JobGoneError(f"job {job_id} does not exist")

    async def _cancel_stored(self, job_id: str, row: store.Row) -> None:
        record = records.decode_job(job_id, row.value)
        if not record.is_cancelled:
            record = record._replace(is_cancelled=True)
            version = await self._rows.transact(
                store.Transaction(
                    (store.RowCheck(row.row_key, row.version),),
                    ((row.row_key, records.encode_job(record)),),
                )
            )
            self._notify(record, version)
        _log.info("cancel_stored", job=job_id)

    def _count_tombstone(self, job_id: str) -> None:
        is_allowed = self._budget.take(clock.now_s())
        measures.TOMBSTONES.labels("written" if is_allowed else "refused").inc()
        if not is_allowed:
            raise TooManyTombstonesError(
                f"too many jobs were cancelled that are not stored; {job_id} is"
                " not stored at present"
            )

    async def _store_tombstone(self, job_id: str) -> None:
        """Makes the conditions of each earlier submission of a job fail.

        Raises:
            CheckFailedError: The job was stored meanwhile.
        """
        ended_key = records.ended_row_key(job_id)
        version = await self._rows.transact(
            store.Transaction(
                (
                    store.RowCheck(records.job_row_key(job_id), 0),
                    store.RowCheck(ended_key, 0),
                ),
                ((ended_key, records.encode_tombstone(clock.wall_ms())),),
            )
        )
        _log.info("tombstone_stored", job=job_id, row_version=version)
