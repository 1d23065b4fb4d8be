"""Cancels any number of open jobs without a scan."""

from __future__ import annotations

import asyncio

from marigoldgap import errors
from marigoldgap.coordination import job_groups
from marigoldgap.coordination import job_state
from marigoldgap.coordination import job_table
from marigoldgap.coordination import job_writer
from marigoldgap.coordination import model as jobs_model
from marigoldgap.entries import job_messages


class JobCanceller:
    """Marks the rows of jobs as cancelled and ends the jobs.

    Args:
        table: Open jobs.
        groups: Finds the jobs of a group.
        writer: Writes the marks, many of them in one write.
    """

    def __init__(
        self,
        table: job_table.JobTable,
        groups: job_groups.JobGroups,
        writer: job_writer.JobWriter,
    ) -> None:
        self._table = table
        self._groups = groups
        self._writer = writer

    async def cancel(
        self, request: job_messages.JobsCancelled
    ) -> tuple[str, ...]:
        """Cancels jobs; the cancellation is durable on return.

        The rows are marked first; a job is closed after its tasks stopped.
        Unknown jobs and jobs of other teams are ignored.

        Returns:
            Ids of the cancelled jobs.

        Raises:
            errors.StoreUnavailableError: Some rows could not be written.
        """
        job_ids = list(request.job_ids)
        if request.group:
            job_ids += self._groups.job_ids_of(request.team, request.group)
        found = [self._table.jobs.get(job_id) for job_id in job_ids]
        jobs = [job for job in found if job and job.spec.team == request.team]
        marks = [self._cancel_one(job) for job in jobs if not job.decided_state]
        results = await asyncio.gather(*marks, return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException):
                raise result
        return tuple(
            job.job_id
            for job in jobs
            if job.decided_state == jobs_model.CANCELLED
        )

    async def _cancel_one(self, job: job_state.Job) -> None:
        """Marks the row of a job as cancelled and ends the job."""
        try:
            await self._writer.mark_cancelled(job)
        except errors.ConflictError:
            # The job was closed in the meantime.
            return
        job.decide_state(jobs_model.CANCELLED, "cancelled")
        self._table.changed.add(job.job_id)
