"""State of one open job; pure."""

from __future__ import annotations

import collections
import enum
from typing import NamedTuple

from marigoldgap.coordination import model as jobs_model
from marigoldgap.scheduling import model


class TaskState(enum.Enum):
    """Where an attempt of a task is.

    PLACING: an instance was asked to start it.
    RUNNING: a worker runs it, as far as is known.
    UNRESOLVED: the instance that was asked is gone; a worker may run it.
    """

    PLACING = "placing"
    RUNNING = "running"
    UNRESOLVED = "unresolved"


class Attempt(NamedTuple):
    """One attempt of a task that may be running.

    Attributes:
        place: The asked instance, or the worker of a running task.
        since_ms: When the attempt came into this state.
    """

    task_id: str
    job_id: str
    task_index: int
    state: TaskState
    place: str
    since_ms: int


class Job:
    """An open job.

    Attributes:
        row_version: Version of the job's row in the table service.
        reference: Key of the payload in the object store, if it is there.
        verdict: Final state that the job will get once nothing runs.
        started: Tasks below this index may have run, as the row says; only
            kept for jobs that are not idempotent.
        not_before_ms: Start of the next attempt after failures.
        refusals: Refused attempts since one was accepted.
    """

    def __init__(
        self,
        job_id: str,
        spec: jobs_model.JobSpec,
        row_version: int,
        reference: str = "",
        started: int = 0,
    ) -> None:
        self.job_id = job_id
        self.spec = spec
        self.row_version = row_version
        self.reference = reference
        self.started = started
        self.waiting: collections.deque[int] = collections.deque(
            range(spec.tasks)
        )
        self.active: dict[int, str] = {}
        self.ended: set[int] = set()
        self.failures: dict[int, int] = {}
        self.failed_workers: set[str] = set()
        self.not_before_ms = 0
        self.refusals = 0
        self.verdict = ""
        self.detail = ""

    @property
    def is_complete(self) -> bool:
        """Whether the job can be closed."""
        if self.verdict:
            return not self.active
        return len(self.ended) == self.spec.tasks

    @property
    def is_torn(self) -> bool:
        """Whether a gang runs in part, so that it must stop and start again."""
        return self.spec.gang and bool(self.waiting) and bool(self.active)

    @property
    def final_state(self) -> str:
        """The state in which the job is closed."""
        return self.verdict or jobs_model.FINISHED

    def status(self) -> jobs_model.JobStatus:
        """Returns what callers see."""
        state = jobs_model.RUNNING if self.active else jobs_model.WAITING
        if self.is_complete:
            state = self.final_state
        return jobs_model.JobStatus(
            job_id=self.job_id,
            team=self.spec.team,
            state=state,
            tasks=self.spec.tasks,
            waiting=len(self.waiting),
            running=len(self.active),
            finished=len(self.ended),
            failed=sum(self.failures.values()),
            detail=self.detail,
        )

    def take(self, index: int, task_id: str) -> None:
        """Marks a task as active; it waits no longer."""
        try:
            self.waiting.remove(index)
        except ValueError:
            pass
        self.active[index] = task_id

    @property
    def is_marked_exactly(self) -> bool:
        """Whether the row marks no more tasks than may have run."""
        return self.started <= self.unstarted_from()

    def unstarted_from(self) -> int:
        """Returns the index from which on no task runs or has ended."""
        return max([-1, *self.active, *self.ended]) + 1

    def put_first(self, index: int) -> None:
        """Makes a task wait that was not started, ahead of the others."""
        self.active.pop(index, None)
        if not self.verdict and index not in self.ended:
            self.waiting.appendleft(index)

    def put_back(self, index: int) -> None:
        """Makes a task wait again, unless the job ends anyway.

        A gang runs again as a whole, also the tasks that had finished.
        """
        self.active.pop(index, None)
        if self.verdict or index in self.ended:
            return
        self.waiting.append(index)
        if self.spec.gang:
            self.restart_gang()

    def restart_gang(self) -> None:
        """Lets all tasks of a gang wait, also those that had finished."""
        self.waiting.extend(self.ended)
        self.ended.clear()

    def end(self, index: int) -> None:
        """Records a task that finished."""
        self.active.pop(index, None)
        self.ended.add(index)

    def give_verdict(self, verdict: str, detail: str) -> None:
        """Lets the job end; the first verdict stands."""
        if self.verdict:
            return
        self.verdict = verdict
        self.detail = detail
        self.waiting.clear()

    def task_spec(self, task_id: str, index: int) -> model.TaskSpec:
        """Returns the task that an instance is asked to start."""
        spec = self.spec
        return model.TaskSpec(
            task_id=task_id,
            team=spec.team,
            queue=spec.queue,
            kind=spec.kind,
            resources=spec.resources,
            service=spec.service,
            idempotent=spec.idempotent,
            urgent=spec.urgent,
            deadline_ms=None,
            expected_run_ms=spec.expected_run_ms,
            job_id=self.job_id,
            attempt=self.failures.get(index, 0),
            priority=spec.priority,
        )


def new_attempt_id(job_id: str, index: int, token: str) -> str:
    """Returns the id of an attempt; the token makes it unique."""
    return f"{job_id}~{index}~{token}"


def index_of(task_id: str) -> int | None:
    """Returns the index in a task id, or None if it has another form."""
    parts = task_id.split("~")
    if len(parts) != 3 or not parts[1].isdecimal():
        return None
    return int(parts[1])
