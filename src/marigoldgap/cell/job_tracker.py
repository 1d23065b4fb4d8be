"""Tracks the jobs of a leader: adds, restores, ends and stores them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import fair_rate
from marigoldgap.cell import former_leader
from marigoldgap.cell import jobs
from marigoldgap.cell import leadership as leaderships
from marigoldgap.cell import model
from marigoldgap.cell import progress_rows
from marigoldgap.cell import records
from marigoldgap.cell import run_times
from marigoldgap.cell import runs
from marigoldgap.cell import step_progress
from marigoldgap.cell import store

_log = decision_log.DecisionLogger("jobs")

# Run numbers that are reserved for a task in each election.
_RUN_NUMBERS_PER_ELECTION = 1_000
# Time for which a job is not archived: twice the burst of a fair rate.
_MIN_ARCHIVE_AGE_S = 2 * fair_rate.BURST_S


class _Archived(NamedTuple):
    """Final state of an archived job, and the monotonic time of its end."""

    state: model.JobState
    ended_s: float


class JobTracker:
    """Tracks all jobs until they are removed by the retention.

    Args:
        leadership: The current leadership.
        configuration: Returns the configuration in force.
        versions: Versions of stored rows; filled while jobs are restored.
        former: What is known of the former leader.
        times: Learned run times; None to use the declared ones.
    """

    def __init__(
        self,
        leadership: leaderships.Leadership,
        configuration: Callable[[], model.Configuration | None],
        versions: dict[store.RowKey, int],
        former: former_leader.FormerLeader,
        times: run_times.RunTimes | None = None,
    ) -> None:
        self.jobs: dict[str, jobs.Job] = {}
        # Archived jobs by id: they are shown to callers, and a late
        # notification does not start them again.
        self._archived: dict[str, _Archived] = {}
        # Stored jobs that could not be restored.
        self._unusable: set[str] = set()
        # Jobs that have not ended; only these are planned.
        self._open_jobs: dict[str, jobs.Job] = {}
        # Stops a run whose job has ended; set by the run tracker.
        self.stop_run: Callable[[runs.Run, str], None] = _stop_without_tracker
        self._leadership = leadership
        self._configuration = configuration
        self._versions = versions
        self._former = former
        self._times = times
        self._rates = fair_rate.FairRates()
        self._progress = progress_rows.ProgressRows(leadership.journal)
        # Monotonic time in seconds as of which all stored jobs are known.
        self._complete_as_of_s = float("-inf")

    def mark_complete(self, as_of_s: float) -> None:
        """Records that all jobs that were stored at a time are known.

        Args:
            as_of_s: Monotonic time in seconds.
        """
        self._complete_as_of_s = max(self._complete_as_of_s, as_of_s)

    def is_absent(self, job_id: str, since_s: float) -> bool:
        """Returns whether no open job with an id was stored at a time.

        A job is stored before its first run starts, so a run that existed at
        that time belongs to no open job either.

        Args:
            job_id: The id.
            since_s: Monotonic time in seconds.
        """
        if job_id in self._archived:
            return True
        return job_id not in self.jobs and since_s < self._complete_as_of_s

    def add(self, record: model.JobRecord, version: int) -> None:
        """Adds an accepted job, or applies its cancellation.

        Args:
            record: The job.
            version: Version of its row; 0 if unknown.
        """
        if record.job_id in self._archived:
            _log.info("archived_job_repeated", job=record.job_id)
            return
        if record.job_id in self._unusable and not record.is_cancelled:
            # Its tasks may have run already.
            _log.info("unusable_job_repeated", job=record.job_id)
            return
        job = self.jobs.get(record.job_id)
        if job is None:
            job = self._create(record, self._run_floor(version))
            self._classify(job)
            _log.info(
                "job_queued",
                job=record.job_id,
                row_version=version,
                is_inherited=job.is_inherited,
                workspace=record.workspace,
                queue=record.queue.name,
                is_over_fair_rate=job.is_over_fair_rate,
            )
        if record.is_cancelled and not job.is_ended:
            self.end(job, model.JobState.CANCELLED, "cancelled by caller")
        self._leadership.request_plan()

    def shown_state(self, job_id: str) -> model.JobState | None:
        """Returns the state that callers see; None for an unknown job."""
        job = self.jobs.get(job_id)
        if job is not None:
            return job.shown_state
        archived = self._archived.get(job_id)
        return None if archived is None else archived.state

    def archivable_jobs(self, now: float) -> list[jobs.Job]:
        """Returns the ended jobs without runs whose end is stored.

        Jobs that were received recently are left out: a new leader derives the
        fair rates of the workspaces from them.
        """
        return [
            job
            for job in self.jobs.values()
            if job.is_stored
            and now - job.received_s >= _MIN_ARCHIVE_AGE_S
            and not job.runs()
        ]

    def may_have_task(self, task: model.TaskName) -> bool:
        """Returns whether a job has a task, or is not known here yet."""
        job = self.jobs.get(task.job_id)
        return job is None or job.has_task(task)

    def is_archived(self, job_id: str) -> bool:
        """Returns whether this leader has archived a job."""
        return job_id in self._archived

    def archive(self, job: jobs.Job) -> None:
        """Drops an archived job and schedules the removal of its progress."""
        self.jobs.pop(job.job_id, None)
        self._archived[job.job_id] = _Archived(job.state, job.ended_s)
        self._progress.remove(job.job_id)

    def forget_archived(self, before_s: float) -> None:
        """Forgets the archived jobs that ended before a monotonic time."""
        for job_id, archived in list(self._archived.items()):
            if archived.ended_s < before_s:
                del self._archived[job_id]

    def remove_progress(
        self, job_id: str, stored: progress_rows.StoredProgress
    ) -> None:
        """Schedules the removal of the progress of a job without a record."""
        for row in stored.rows:
            self._versions[row.row_key] = row.version
        self._progress.remove_stored(job_id, stored)

    def waiting(self, queue: str) -> int:
        """Returns the number of jobs of a queue that have not started."""
        return sum(
            1
            for job in self._open_jobs.values()
            if job.queue.name == queue and not job.has_begun
        )

    def adopt_configuration(self, configuration: model.Configuration) -> None:
        """Applies changed queues to the jobs."""
        for job in self.jobs.values():
            queue = configuration.queue_named(job.queue.name)
            if queue is not None:
                job.queue = queue
        self._leadership.request_plan()

    def ready_steps(
        self, with_inherited: bool
    ) -> list[step_progress.StepProgress]:
        """Returns the steps that have waiting tasks and may start.

        Args:
            with_inherited: Whether to include jobs from earlier elections; safe
                only once it is known which of their tasks already run.
        """
        return [
            step
            for job in self._open_jobs.values()
            if with_inherited or not job.is_inherited
            for step in job.ready_steps()
        ]

    def inherited_jobs(self) -> Iterator[jobs.Job]:
        """Yields the jobs of earlier elections that are not archived."""
        for job in self.jobs.values():
            if job.is_inherited:
                yield job

    def open_steps(self) -> Iterator[step_progress.StepProgress]:
        """Yields the steps of all jobs that have not ended."""
        for job in self._open_jobs.values():
            yield from job.open_steps()

    def open_due(self) -> None:
        """Opens the occurrences of recurring jobs that are due."""
        wall_ms = clock.wall_ms()
        for job in self._open_jobs.values():
            if job.next_occurrence < job.occurrence_count:
                job.open_due(wall_ms)

    def restore(
        self, row: store.Row, progress: progress_rows.StoredProgress | None
    ) -> None:
        """Restores a stored job and its progress.

        A job whose rows are unusable is not run: what it has done is not known.
        """
        job_id = row.row_key.key
        try:
            job = self._restore(records.decode_job_row(row), progress)
        except Exception as error:
            self.jobs.pop(job_id, None)
            self._open_jobs.pop(job_id, None)
            self._unusable.add(job_id)
            if not isinstance(error, errors.MarigoldgapError | ValueError):
                raise
            _log.error("job_row_unusable", job=job_id, cause=str(error))
            return
        if job.is_ended:
            self._open_jobs.pop(job.job_id, None)
            return
        if job.record.is_cancelled:
            self.end(job, model.JobState.CANCELLED, "cancelled by caller")
        elif job.close_done():
            # The former leader stored the end of the last task, but not the
            # end of the job.
            self.end(job, model.JobState.COMPLETED, "all tasks done")

    def _restore(
        self,
        record: model.JobRecord,
        progress: progress_rows.StoredProgress | None,
    ) -> jobs.Job:
        job = self._create(record, self._former_run_floor)
        if progress is None:
            return job
        for stored in progress.rows:
            self._versions[stored.row_key] = stored.version
        job.close_all()
        self._progress.restore(job, progress)
        if not job.is_ended:
            job.open_due(clock.wall_ms())
        job.is_stored = job.is_ended
        job.ended_s = clock.now_s()
        return job

    def end(self, job: jobs.Job, state: model.JobState, cause: str) -> None:
        """Ends a job; callers see the end once it is stored."""
        self._open_jobs.pop(job.job_id, None)
        job.state = state
        job.ended_s = clock.now_s()
        measures.COMPLETION_S.labels(job.queue.priority, state.value).observe(
            job.ended_s - job.received_s
        )
        late_s = _late_s(job)
        _log.info(
            "job_ended",
            job=job.job_id,
            state=state.value,
            took_s=round(job.ended_s - job.received_s, 3),
            late_s=round(late_s, 3),
            cause=cause,
        )
        if state is model.JobState.COMPLETED:
            lateness = step_progress.lateness_of(late_s, job.objective_s)
            measures.COMPLETED_JOBS.labels(
                job.queue.name,
                lateness.name.lower(),
                "above_rate" if job.is_over_fair_rate else "within_rate",
            ).inc()
        for run in job.runs():
            self.stop_run(run, cause)
        self.store_progress(job)

        def mark_stored(_: asyncio.Future[None]) -> None:
            job.is_stored = True

        self._leadership.journal.stored(
            (records.progress_row_key(job.job_id),)
        ).add_done_callback(mark_stored)

    def store_progress(self, job: jobs.Job) -> None:
        """Schedules a write of the state of a job."""
        self._progress.store(job)

    def store_task(
        self, step: step_progress.StepProgress, position: int
    ) -> None:
        """Schedules a write of the progress of a task."""
        self._progress.store_task(step, position)

    def stored(self, job_ids: Collection[str]) -> asyncio.Future[None]:
        """Returns a future that is done once the progress of jobs is stored."""
        return self._progress.stored(job_ids)

    def classify_inherited_jobs(self) -> None:
        """Classifies the restored jobs as within or above their fair rate."""
        inherited = sorted(
            self.jobs.values(), key=lambda job: job.record.accepted_ms
        )
        for job in inherited:
            self._classify(job)

    @property
    def _former_run_floor(self) -> int:
        """Highest run number that an earlier leader may have used."""
        return (self._leadership.epoch - 1) * _RUN_NUMBERS_PER_ELECTION

    def _run_floor(self, version: int) -> int:
        """Returns the highest run number that was possibly used for a new job.

        Args:
            version: Version of its row; 0 if unknown.
        """
        if self._former.may_have_started(version):
            return self._former_run_floor
        return 0

    def _classify(self, job: jobs.Job) -> None:
        configuration = self._configuration()
        if configuration is None:
            return
        workspace = configuration.workspaces.get(job.record.workspace)
        if workspace is not None:
            job.is_over_fair_rate = self._rates.count_job(
                workspace, job.record.accepted_ms / 1000
            )

    def _create(self, record: model.JobRecord, run_floor: int) -> jobs.Job:
        configuration = self._configuration()
        queue = record.queue
        if configuration is not None:
            queue = configuration.queue_named(queue.name) or queue
        job = jobs.Job(record, queue, clock.now_s(), run_floor, self._times)
        job.open_due(clock.wall_ms())
        self.jobs[record.job_id] = job
        self._open_jobs[record.job_id] = job
        return job


def _late_s(job: jobs.Job) -> float:
    """Returns by how many seconds an ended job exceeds its objective.

    0 if it does not. The objective of a recurring job is that of its last
    occurrence.
    """
    due_ms = job.due_ms(job.occurrence_count - 1)
    early_ms = max(0, due_ms - job.record.accepted_ms) if due_ms else 0
    return max(0.0, job.ended_s - job.deadline_s - early_ms / 1000)


def _stop_without_tracker(run: runs.Run, cause: str) -> None:
    raise RuntimeError(f"no run tracker to stop run {run.name}: {cause}")
