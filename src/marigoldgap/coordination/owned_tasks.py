"""Job tasks on the workers that this instance owns."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

from marigoldgap.entries import messages
from marigoldgap.scheduling import model
from marigoldgap.workers import model as workers_model

# Task states after which the task no longer runs.
_ENDED_STATES = frozenset(
    {"finished", "failed", "stopped", "checkpointed", "lapsed"}
)


class OwnedTasks:
    """Tracks owned workers, their job tasks and task outcomes for reports.

    Outcomes of a job are kept until the coordinator closes it, so that a new
    coordinator gets them without the table service.
    """

    def __init__(self) -> None:
        self._workers: dict[str, model.WorkerInfo] = {}
        self._tasks: dict[str, dict[str, model.RunningTask]] = {}
        self._outcomes: dict[str, dict[str, messages.Outcome]] = {}
        self._acquired: set[str] = set()
        self._lost: set[str] = set()
        self._restarted: set[str] = set()
        self._new_outcomes: list[messages.Outcome] = []

    @property
    def has_changes(self) -> bool:
        """Whether there are changes that were not reported yet."""
        return bool(self._acquired or self._lost or self._restarted) or bool(
            self._new_outcomes
        )

    def acquired(
        self, worker: model.WorkerInfo, running: Sequence[model.RunningTask]
    ) -> None:
        """Adds a worker whose lease was acquired, with its running tasks."""
        worker_id = worker.worker_id
        self._workers[worker_id] = worker
        self._tasks[worker_id] = {
            task.task_id: task for task in running if task.job_id
        }
        self._acquired.add(worker_id)
        self._lost.discard(worker_id)

    def lost(self, worker_id: str) -> None:
        """Removes a worker whose lease is no longer held."""
        if self._workers.pop(worker_id, None) is None:
            return
        self._tasks.pop(worker_id, None)
        self._acquired.discard(worker_id)
        self._lost.add(worker_id)

    def restarted(self, worker_id: str) -> None:
        """Removes the tasks of a worker whose process restarted."""
        if worker_id in self._tasks:
            self._tasks[worker_id] = {}
        self._restarted.add(worker_id)

    def placed(self, task: model.TaskSpec, worker_id: str) -> None:
        """Records a job task that a worker accepted."""
        if worker_id not in self._tasks or task.task_id in self._outcomes_of(
            task
        ):
            return
        self._tasks[worker_id][task.task_id] = running_task(task, worker_id)

    def changed(self, change: workers_model.TaskChange) -> bool:
        """Records a state change; returns whether a job task ended."""
        if change.state not in _ENDED_STATES:
            return False
        task = self._tasks.get(change.worker_id, {}).pop(change.task_id, None)
        job_id = task.job_id if task else job_of(change.task_id)
        if not job_id:
            return False
        kept = self._outcomes.setdefault(job_id, {})
        if change.task_id in kept:
            return False
        outcome = messages.Outcome(
            task_id=change.task_id,
            worker_id=change.worker_id,
            state=change.state,
            exit_code=change.exit_code,
        )
        kept[change.task_id] = outcome
        self._new_outcomes.append(outcome)
        return True

    def forget_jobs(self, job_ids: Iterable[str]) -> None:
        """Removes the outcomes of closed jobs."""
        for job_id in job_ids:
            self._outcomes.pop(job_id, None)

    def team_of(self, worker_id: str, task_id: str) -> str | None:
        """Returns the team of a running job task."""
        task = self._tasks.get(worker_id, {}).get(task_id)
        return task.team if task else None

    def is_current(self, valid: Collection[str]) -> bool:
        """Whether the leases on all tracked workers are valid.

        Args:
            valid: Workers whose lease is valid now. After a pause of this
                process the others may have new owners, and their tasks are
                out of date here until the fleet notices the lost leases.
        """
        return self._workers.keys() <= set(valid)

    def full_report(self) -> tuple[messages.OwnedReport, ...]:
        """Returns a report of all workers and clears the pending changes."""
        self._clear_changes()
        return tuple(self._report(worker_id) for worker_id in self._workers)

    def all_outcomes(self) -> tuple[messages.Outcome, ...]:
        """Returns the outcomes of all jobs that are not closed."""
        return tuple(
            outcome
            for kept in self._outcomes.values()
            for outcome in kept.values()
        )

    def take_changes(
        self, term: model.Term, incarnation: str
    ) -> messages.WorkersChanged:
        """Returns the changes since the last report and clears them."""
        changes = messages.WorkersChanged(
            term=term,
            incarnation=incarnation,
            acquired=tuple(self._report(w) for w in sorted(self._acquired)),
            lost=tuple(sorted(self._lost)),
            restarted=tuple(sorted(self._restarted)),
            outcomes=tuple(self._new_outcomes),
            holdings=(),
        )
        self._clear_changes()
        return changes

    def _outcomes_of(self, task: model.TaskSpec) -> dict[str, messages.Outcome]:
        """Returns the outcomes of the job of a task, by task id."""
        return self._outcomes.get(task.job_id, {})

    def _report(self, worker_id: str) -> messages.OwnedReport:
        """Returns the report of one worker."""
        worker = self._workers[worker_id]
        return messages.OwnedReport(
            worker_id=worker_id,
            service=worker.service,
            capacity=worker.capacity,
            tasks=tuple(self._tasks[worker_id].values()),
        )

    def _clear_changes(self) -> None:
        """Clears the pending changes."""
        self._acquired.clear()
        self._lost.clear()
        self._restarted.clear()
        self._new_outcomes = []


def running_task(task: model.TaskSpec, worker_id: str) -> model.RunningTask:
    """Converts a task specification to a running task."""
    return model.RunningTask(
        task_id=task.task_id,
        worker_id=worker_id,
        team=task.team,
        queue=task.queue,
        resources=task.resources,
        job_id=task.job_id,
        attempt=task.attempt,
    )


def job_of(task_id: str) -> str:
    """Returns the job id in a task id, or an empty string for a request.

    Ids of job tasks have the form `<job id>~<index>~<attempt token>`.
    """
    job_id, _, rest = task_id.partition("~")
    return job_id if "~" in rest else ""
