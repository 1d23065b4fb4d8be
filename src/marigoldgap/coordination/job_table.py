"""Open jobs of the zone and the attempts of their tasks (no I/O).

A task is requeued only when its attempt is certain not to run: its worker said
so, the lease on the worker expired, the worker restarted, or no worker
reported the attempt after the term barrier was settled.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from marigoldgap import logs
from marigoldgap.coordination import job_state
from marigoldgap.coordination import model as jobs_model
from marigoldgap.coordination import owned_tasks
from marigoldgap.entries import messages
from marigoldgap.scheduling import model

_log = logs.PartLogger("coordination")

_FINISHED = "finished"
_FAILED = "failed"
_CHECKPOINTED = "checkpointed"

# Longer than any pause that a process survives.
_PROCESS_RETURN_TIMEOUT_MS = 60_000

# Failures on this many workers mean that the job and not a worker is at fault.
FAILED_WORKERS_LIMIT = 3


class StopRequest(NamedTuple):
    """A request to stop a task on the worker that runs it."""

    worker_id: str
    task_id: str


class JobTable:
    """Open jobs, with their attempts indexed by task id and by worker.

    Args:
        attempts_limit: Returns how often one task may fail.
        new_token: Returns a unique token for an attempt id.
    """

    def __init__(
        self,
        attempts_limit: Callable[[], int],
        new_token: Callable[[], str],
    ) -> None:
        self._attempts_limit = attempts_limit
        self._new_token = new_token
        self._attempts: dict[str, job_state.Attempt] = {}
        self._task_ids_by_worker: dict[str, set[str]] = {}
        self._unloaded_attempts: dict[str, dict[str, job_state.Attempt]] = {}
        self._unloaded_outcomes: dict[str, list[messages.Outcome]] = {}
        self._loaded = False
        self.jobs: dict[str, job_state.Job] = {}
        # Jobs whose state changed since the caller last cleared the set.
        self.changed: set[str] = set()
        # Failed tasks as (worker id, job id), for the worker quarantine.
        self.failures: list[tuple[str, str]] = []
        # Running attempts of tasks that another attempt finished.
        self.redundant: list[StopRequest] = []

    @property
    def attempts(self) -> Iterable[job_state.Attempt]:
        """All attempts that may be running."""
        return self._attempts.values()

    def add(self, job: job_state.Job, now_ms: int) -> None:
        """Adds a job from its row and applies earlier reports about it."""
        if job.job_id in self.jobs:
            return
        self.jobs[job.job_id] = job
        for outcome in self._unloaded_outcomes.pop(job.job_id, ()):
            self.record_outcome(outcome, now_ms)
        for attempt in self._unloaded_attempts.pop(job.job_id, {}).values():
            self._activate(job, attempt)
        if not job.spec.idempotent:
            self._fail_unreported(job)
        self.changed.add(job.job_id)

    def finish_load(self) -> list[StopRequest]:
        """Records that all rows are loaded; returns tasks of unknown jobs."""
        self._loaded = True
        orphans = [
            StopRequest(attempt.location, attempt.task_id)
            for unloaded in self._unloaded_attempts.values()
            for attempt in unloaded.values()
            if attempt.state is job_state.TaskState.RUNNING
        ]
        self._unloaded_attempts.clear()
        self._unloaded_outcomes.clear()
        return orphans

    def close(self, job_id: str) -> None:
        """Removes a job whose row is closed."""
        job = self.jobs.pop(job_id, None)
        self.changed.discard(job_id)
        if job is not None:
            for task_id in list(job.active.values()):
                self._drop(task_id)

    def begin_attempt(
        self, job: job_state.Job, instance_id: str, now_ms: int
    ) -> model.TaskSpec:
        """Begins an attempt of the next waiting task on an instance."""
        index = job.waiting[0]
        token = self._new_token()
        task_id = job_state.new_attempt_id(job.job_id, index, token)
        attempt = job_state.Attempt(
            task_id=task_id,
            job_id=job.job_id,
            task_index=index,
            state=job_state.TaskState.PLACING,
            location=instance_id,
            since_ms=now_ms,
        )
        self._activate(job, attempt)
        return job.task_spec(task_id, index)

    def record_placed(self, task_id: str, worker_id: str, now_ms: int) -> None:
        """Records that a worker accepted, or may have accepted, an attempt."""
        attempt = self._attempts.get(task_id)
        if attempt is None or attempt.state is job_state.TaskState.RUNNING:
            return
        self._set_running(attempt, worker_id, now_ms)

    def mark_not_started(self, task_id: str) -> None:
        """Records that an attempt is certain not to have started."""
        attempt = self._drop(task_id)
        if attempt is not None:
            self._job_of(attempt).requeue_first(attempt.task_index)
            self.changed.add(attempt.job_id)

    def record_placing(
        self, instance_id: str, task: model.RunningTask, now_ms: int
    ) -> None:
        """Records a start from an earlier term that is still in progress."""
        self._record_observed(
            task, job_state.TaskState.PLACING, instance_id, now_ms
        )

    def reconcile_worker(
        self, worker_id: str, tasks: Iterable[model.RunningTask], now_ms: int
    ) -> list[StopRequest]:
        """Reconciles the attempts on a worker with its reported tasks.

        Returns:
            Tasks that must stop, because the same task runs elsewhere or
            the job is closed.
        """
        stops = []
        present = set()
        for task in tasks:
            present.add(task.task_id)
            running = job_state.TaskState.RUNNING
            if not self._record_observed(task, running, worker_id, now_ms):
                stops.append(StopRequest(worker_id, task.task_id))
        for task_id in self._task_ids_by_worker.get(worker_id, set()) - present:
            self.mark_not_running(
                task_id, "the worker does not run it any more"
            )
        return stops

    def record_outcome(self, outcome: messages.Outcome, now_ms: int) -> None:
        """Records how an attempt ended; late or repeated ones are ignored."""
        del now_ms
        job_id = owned_tasks.job_of(outcome.task_id)
        if job_id not in self.jobs:
            if not self._loaded:
                self._unloaded_outcomes.setdefault(job_id, []).append(outcome)
                self._unloaded_attempts.get(job_id, {}).pop(
                    outcome.task_id, None
                )
            return
        index = job_state.index_of(outcome.task_id)
        job = self.jobs[job_id]
        if index is None or index >= job.spec.tasks or index in job.ended:
            return
        attempt = self._drop(outcome.task_id)
        if outcome.state == _FINISHED and not outcome.exit_code:
            self._finish(job, index)
        elif outcome.state in (_FINISHED, _FAILED):
            self._fail(job, index, outcome, known=attempt is not None)
        elif attempt is not None and outcome.state == _CHECKPOINTED:
            # The task resumes from its checkpoint, so this is not a retry.
            job.requeue(index)
        elif attempt is not None:
            self._requeue_interrupted(job, index, outcome.state)
        self.changed.add(job_id)

    def mark_not_running(self, task_id: str, reason: str) -> None:
        """Records that an attempt is certain not to run any more."""
        attempt = self._drop(task_id)
        if attempt is None:
            self._drop_unloaded(task_id)
            return
        _log.info("Task %s is not running: %s.", task_id, reason)
        self._requeue_interrupted(
            self._job_of(attempt), attempt.task_index, reason
        )
        self.changed.add(attempt.job_id)

    def clear_worker(self, worker_id: str) -> None:
        """Records that a worker no longer runs any of its earlier tasks."""
        for task_id in list(self._task_ids_by_worker.get(worker_id, ())):
            self.mark_not_running(task_id, "the worker lapsed or restarted")
        for unloaded in self._unloaded_attempts.values():
            for task_id, attempt in list(unloaded.items()):
                if attempt.location == worker_id:
                    del unloaded[task_id]

    def instance_lost(self, instance_id: str, now_ms: int) -> None:
        """Records that the starts on a lost instance have unknown results."""
        for attempt in list(self._attempts.values()):
            placing = attempt.state is job_state.TaskState.PLACING
            if placing and attempt.location == instance_id:
                unresolved = job_state.TaskState.UNRESOLVED
                self._attempts[attempt.task_id] = attempt._replace(
                    state=unresolved, since_ms=now_ms
                )
        for unloaded in self._unloaded_attempts.values():
            for task_id, attempt in list(unloaded.items()):
                if attempt.location == instance_id:
                    unresolved = job_state.TaskState.UNRESOLVED
                    unloaded[task_id] = attempt._replace(state=unresolved)

    def instance_resumed(self, instance_id: str) -> None:
        """Lets starts be requested again from a process that was only paused.

        The process remembers the starts that it tried and repeats none.
        """
        for attempt in list(self._attempts.values()):
            unresolved = attempt.state is job_state.TaskState.UNRESOLVED
            if unresolved and attempt.location == instance_id:
                placing = job_state.TaskState.PLACING
                self._attempts[attempt.task_id] = attempt._replace(
                    state=placing, since_ms=0
                )

    def resolve_unknown(self, now_ms: int) -> None:
        """Resolves unknown starts once everything that runs was reported.

        An unresolved attempt does not run. If its job is not idempotent, it
        may have run, so it stays unresolved for a while in case the
        process that was asked to start it comes back.
        """
        for attempt in list(self._attempts.values()):
            if attempt.state is not job_state.TaskState.UNRESOLVED:
                continue
            waited_ms = now_ms - attempt.since_ms
            idempotent = self._job_of(attempt).spec.idempotent
            if idempotent or waited_ms >= _PROCESS_RETURN_TIMEOUT_MS:
                self.mark_not_running(attempt.task_id, "no worker runs it")
        for unloaded in self._unloaded_attempts.values():
            for task_id, attempt in list(unloaded.items()):
                if attempt.state is job_state.TaskState.UNRESOLVED:
                    del unloaded[task_id]

    def stops_of(self, job: job_state.Job) -> list[StopRequest]:
        """Returns stop requests for the running tasks of a job."""
        found = []
        for task_id in job.active.values():
            attempt = self._attempts[task_id]
            if attempt.state is job_state.TaskState.RUNNING:
                found.append(StopRequest(attempt.location, task_id))
        return found

    def record_repeat(self, task_id: str, now_ms: int) -> None:
        """Records that the start of an attempt was requested again."""
        attempt = self._attempts[task_id]
        self._attempts[task_id] = attempt._replace(since_ms=now_ms)

    def attempt(self, task_id: str) -> job_state.Attempt | None:
        """Returns an attempt that may be running, or None."""
        return self._attempts.get(task_id)

    def _record_observed(
        self,
        task: model.RunningTask,
        state: job_state.TaskState,
        location: str,
        now_ms: int,
    ) -> bool:
        """Records a reported attempt; returns whether it may continue."""
        known = self._attempts.get(task.task_id)
        if known is not None:
            if state is job_state.TaskState.RUNNING:
                self._set_running(known, location, now_ms)
            return True
        index = job_state.index_of(task.task_id)
        if index is None:
            return False
        attempt = job_state.Attempt(
            task.task_id, task.job_id, index, state, location, now_ms
        )
        job = self.jobs.get(task.job_id)
        if job is None:
            if self._loaded:
                return False
            unloaded = self._unloaded_attempts.setdefault(task.job_id, {})
            unloaded[task.task_id] = attempt
            return True
        if index in job.ended or index in job.active or job.decided_state:
            _log.warning(
                "Task %s was reported but is not needed: another attempt is"
                " active or has finished, or the job is ending.",
                task.task_id,
            )
            return False
        self._activate(job, attempt)
        return True

    def _activate(self, job: job_state.Job, attempt: job_state.Attempt) -> None:
        """Makes an attempt the active one, unless its task has one or ended."""
        if attempt.task_index in job.active or attempt.task_index in job.ended:
            return
        job.activate(attempt.task_index, attempt.task_id)
        self._attempts[attempt.task_id] = attempt
        if attempt.state is job_state.TaskState.RUNNING:
            self._task_ids_by_worker.setdefault(attempt.location, set()).add(
                attempt.task_id
            )

    def _set_running(
        self, attempt: job_state.Attempt, worker_id: str, now_ms: int
    ) -> None:
        """Records that an attempt runs on a worker."""
        if attempt.state is job_state.TaskState.RUNNING:
            self._task_ids_by_worker.get(attempt.location, set()).discard(
                attempt.task_id
            )
        self._attempts[attempt.task_id] = attempt._replace(
            state=job_state.TaskState.RUNNING,
            location=worker_id,
            since_ms=now_ms,
        )
        self._task_ids_by_worker.setdefault(worker_id, set()).add(
            attempt.task_id
        )

    def _drop(self, task_id: str) -> job_state.Attempt | None:
        """Removes an attempt from the indexes."""
        attempt = self._attempts.pop(task_id, None)
        if attempt is not None:
            self._task_ids_by_worker.get(attempt.location, set()).discard(
                task_id
            )
        return attempt

    def _drop_unloaded(self, task_id: str) -> None:
        """Removes an attempt of a job whose row is not loaded yet."""
        self._unloaded_attempts.get(owned_tasks.job_of(task_id), {}).pop(
            task_id, None
        )

    def _job_of(self, attempt: job_state.Attempt) -> job_state.Job:
        """Returns the job of an attempt."""
        return self.jobs[attempt.job_id]

    def _finish(self, job: job_state.Job, index: int) -> None:
        """Records a success, even of an attempt that was replaced."""
        other = self._drop(job.active.get(index, ""))
        if other is not None and other.state is job_state.TaskState.RUNNING:
            self.redundant.append(StopRequest(other.location, other.task_id))
        try:
            job.waiting.remove(index)
        except ValueError:
            pass
        job.record_finished(index)

    def _fail(
        self,
        job: job_state.Job,
        index: int,
        outcome: messages.Outcome,
        known: bool,
    ) -> None:
        """Counts a failure and decides whether the job fails."""
        if not known and index in job.active:
            return
        job.failures[index] = job.failures.get(index, 0) + 1
        job.failed_workers.add(outcome.worker_id)
        self.failures.append((outcome.worker_id, job.job_id))
        if len(job.failed_workers) >= FAILED_WORKERS_LIMIT:
            detail = f"tasks failed on {FAILED_WORKERS_LIMIT} workers"
            job.decide_state(jobs_model.FAILED, detail)
        elif job.failures[index] >= self._attempts_limit():
            detail = f"a task failed {job.failures[index]} times"
            job.decide_state(jobs_model.FAILED, detail)
        elif not job.spec.idempotent:
            job.decide_state(jobs_model.FAILED, "a task failed")
        if index in job.active or known:
            job.requeue(index)

    def _requeue_interrupted(
        self, job: job_state.Job, index: int, reason: str
    ) -> None:
        """Requeues a task whose attempt ended without a result."""
        if not job.spec.idempotent:
            detail = f"outcome unknown: {reason}"
            job.decide_state(jobs_model.FAILED, detail)
        job.requeue(index)

    def _fail_unreported(self, job: job_state.Job) -> None:
        """Fails a job if an unreported task may have run and must not rerun."""
        if any(index < job.start_mark for index in job.waiting):
            job.decide_state(
                jobs_model.FAILED,
                "outcome unknown: what ran before was not reported",
            )
