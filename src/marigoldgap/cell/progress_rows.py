"""Stores the progress of jobs in rows that the store accepts.

The progress of a small job is one row. A job with more tasks has a first row with
its state and its open occurrences, and further rows, each with the progress of
some tasks of one step. These do not depend on each other, so they may be written
in several transactions: the end of a run is acknowledged once the row of its task
is stored.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.cell import jobs
from marigoldgap.cell import journal as journals
from marigoldgap.cell import records
from marigoldgap.cell import step_progress
from marigoldgap.cell import store

_log = decision_log.DecisionLogger("jobs")

# Tasks whose progress is in one row.
TASKS_PER_ROW = 200


class StoredProgress(NamedTuple):
    """Rows with the progress of a job.

    Attributes:
        first: The first row; None if it is not stored yet.
        parts: The further rows of a job with many tasks.
    """

    first: store.Row | None
    parts: dict[records.ProgressPart, store.Row]

    @property
    def rows(self) -> list[store.Row]:
        """All rows."""
        first = [] if self.first is None else [self.first]
        return [*first, *self.parts.values()]


def group(rows: Iterable[store.Row]) -> dict[str, StoredProgress]:
    """Returns the rows with progress by the id of their job."""
    grouped: dict[str, StoredProgress] = {}
    for row in rows:
        try:
            job_id, part = records.parse_progress_key(row.row_key.key)
        except errors.MarigoldgapError as error:
            _log.error(
                "progress_row_unusable", key=row.row_key.key, cause=str(error)
            )
            continue
        found = grouped.setdefault(job_id, StoredProgress(None, {}))
        if part is None:
            grouped[job_id] = found._replace(first=row)
        else:
            found.parts[part] = row
    return grouped


class ProgressRows:
    """Schedules writes of the progress of jobs.

    Args:
        journal: Writes the rows.
    """

    def __init__(self, journal: journals.Journal) -> None:
        self._journal = journal
        # Further rows that exist or may exist, by job.
        self._parts: dict[str, set[records.ProgressPart]] = {}
        # What was last scheduled of the first row of each job with many tasks.
        self._summaries: dict[str, tuple[Any, ...]] = {}

    def restore(self, job: jobs.Job, stored: StoredProgress) -> None:
        """Restores the progress of a job from its rows.

        Raises:
            MarigoldgapError: A row is invalid.
            ValueError: A row is invalid.
        """
        is_whole = False
        if stored.first is not None:
            fields = records.decode(stored.first.value)
            job.restore(fields)
            is_whole = any(fields["open"].values())
        self._parts[job.job_id] = set(stored.parts)
        obsolete = {
            part
            for part, row in stored.parts.items()
            if not job.restore_part(
                part.occurrence,
                part.step,
                part.part * TASKS_PER_ROW,
                records.decode(row.value)["tasks"],
            )
        }
        self._remove_parts(job.job_id, obsolete)
        if is_whole and _has_parts(job):
            # An earlier version stored all of it in one row.
            for step in job.open_steps():
                for first in range(0, step.spec.task_count, TASKS_PER_ROW):
                    self._store_part(step, first // TASKS_PER_ROW)
            self.store(job)

    def store(self, job: jobs.Job) -> None:
        """Schedules a write of the first row of a job."""
        row_key = records.progress_row_key(job.job_id)
        if not _has_parts(job):
            encode = functools.partial(_encode_to_fit, job.job_id, job.encode)
            self._journal.schedule_write(row_key, encode)
            return
        summary = (
            job.state,
            job.has_begun,
            job.next_occurrence,
            tuple(job.occurrences),
        )
        if self._summaries.get(job.job_id) == summary:
            return
        self._summaries[job.job_id] = summary
        self._journal.schedule_write(
            row_key, lambda: json_object.encode(job.encode(with_steps=False))
        )
        self._remove_completed(job)

    def store_task(
        self, step: step_progress.StepProgress, position: int
    ) -> None:
        """Schedules a write of the rows with the progress of a task."""
        job = step.job
        if _has_parts(job) and step.occurrence in job.occurrences:
            for kept_at in {position, step.accounting_position(position)}:
                self._store_part(step, kept_at // TASKS_PER_ROW)
        self.store(job)

    def stored(self, job_ids: Collection[str]) -> asyncio.Future[None]:
        """Returns a future that is done once the progress of jobs is stored."""
        return self._journal.stored(
            [
                row_key
                for row_key in self._journal.unstored_rows
                if row_key.table == records.PROGRESS
                and records.parse_progress_key(row_key.key)[0] in job_ids
            ]
        )

    def remove(self, job_id: str) -> None:
        """Schedules the removal of all rows of a job."""
        self._summaries.pop(job_id, None)
        self._journal.schedule_write(
            records.progress_row_key(job_id), _no_content
        )
        self._remove_parts(job_id, self._parts.get(job_id, set()))
        self._parts.pop(job_id, None)

    def remove_stored(self, job_id: str, stored: StoredProgress) -> None:
        """Schedules the removal of rows whose job does not exist any more."""
        self._parts[job_id] = set(stored.parts)
        self.remove(job_id)

    def _store_part(self, step: step_progress.StepProgress, part: int) -> None:
        job_id = step.job.job_id
        identity = records.ProgressPart(step.occurrence, step.number, part)
        self._parts.setdefault(job_id, set()).add(identity)
        first = part * TASKS_PER_ROW
        positions = range(
            first, min(first + TASKS_PER_ROW, step.spec.task_count)
        )

        def encode(with_saved: bool) -> dict[str, Any]:
            return {"tasks": step.encode(positions, with_saved)}

        self._journal.schedule_write(
            records.progress_part_row_key(job_id, identity),
            functools.partial(_encode_to_fit, job_id, encode),
        )

    def _remove_completed(self, job: jobs.Job) -> None:
        """Removes the rows of completed occurrences.

        They are removed once the first row says that the occurrence is
        completed: without either, its tasks would start again.
        """
        completed = {
            part
            for part in self._parts.get(job.job_id, ())
            if part.occurrence not in job.occurrences
        }
        if not completed:
            return
        stored = self._journal.stored((records.progress_row_key(job.job_id),))
        stored.add_done_callback(
            lambda _: self._remove_parts(job.job_id, completed)
        )

    def _remove_parts(
        self, job_id: str, parts: set[records.ProgressPart]
    ) -> None:
        existing = self._parts.get(job_id, set())
        for part in parts & existing:
            self._journal.schedule_write(
                records.progress_part_row_key(job_id, part), _no_content
            )
        if job_id in self._parts:
            self._parts[job_id] = existing - parts


def _has_parts(job: jobs.Job) -> bool:
    """Returns whether the progress of a job has further rows."""
    return job.max_open_tasks > TASKS_PER_ROW


def _encode_to_fit(job_id: str, encode: Callable[..., dict[str, Any]]) -> bytes:
    """Returns the content of a row.

    Saved progress of tasks is left out if the row would be too large otherwise:
    such tasks start anew if the leader ends before they run again.
    """
    content = json_object.encode(encode(with_saved=True))
    if len(content) <= records.MAX_ROW_BYTES:
        return content
    _log.warning("saved_progress_left_out", job=job_id, bytes=len(content))
    return json_object.encode(encode(with_saved=False))


def _no_content() -> None:
    return None
