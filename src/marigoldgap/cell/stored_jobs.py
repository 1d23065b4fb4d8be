"""Reads the rows of single jobs for callers."""

from __future__ import annotations

from marigoldgap import errors
from marigoldgap.cell import model
from marigoldgap.cell import records
from marigoldgap.cell import store


class JobGoneError(errors.NotFoundError):
    """No such job exists."""

    code = "job-gone"
    status = 410


class StoredJobs:
    """Reads jobs from the store.

    Args:
        rows: The store.
    """

    def __init__(self, rows: store.Store) -> None:
        self._rows = rows

    async def find(self, job_id: str) -> store.Row | None:
        """Returns the row with the record of a job that is not archived."""
        return await self._read(records.job_row_key(job_id))

    async def find_archived(self, job_id: str) -> records.ArchivedJob | None:
        """Returns an archived job or a tombstone."""
        row = await self._read(records.ended_row_key(job_id))
        return None if row is None else records.decode_ended(row.value)

    async def state(self, job_id: str) -> model.JobState:
        """Returns the stored state of a job.

        Raises:
            JobGoneError: No such job exists.
            RecordError: A row of the job cannot be decoded.
            StoreError: A read failed.
        """
        row = await self.find(job_id)
        if row is None:
            return await self._archived_state(job_id)
        progress = await self._read(records.progress_row_key(job_id))
        if progress is not None:
            state = model.JobState(records.decode(progress.value)["state"])
            if state in model.ENDED_STATES:
                return state
        if records.decode_job(job_id, row.value).is_cancelled:
            return model.JobState.CANCELLED
        if progress is not None:
            return state
        # The job has no progress yet, or was archived since the first read.
        archived = await self.find_archived(job_id)
        return model.JobState.QUEUED if archived is None else archived.state

    async def _archived_state(self, job_id: str) -> model.JobState:
        archived = await self.find_archived(job_id)
        if archived is None or archived.is_tombstone:
            raise JobGoneError(f"job {job_id} does not exist")
        return archived.state

    async def _read(self, row_key: store.RowKey) -> store.Row | None:
        page = await self._rows.read(*row_key, row_key.key + "\0")
        return page.rows[0] if page.rows else None
