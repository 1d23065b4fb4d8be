"""State of one open job (no I/O)."""

from __future__ import annotations

import collections
import enum
from typing import NamedTuple

from marigoldgap.coordination import model as jobs_model
from marigoldgap.scheduling import model


class TaskState(enum.Enum):
    """State of an attempt.

    PLACING: an instance was asked to start it.
    RUNNING: a worker runs it, by the last report.
    UNRESOLVED: the instance that was asked to start it is lost; a worker may
        run it.
    """

    PLACING = "placing"
    RUNNING = "running"
    UNRESOLVED = "unresolved"


class Attempt(NamedTuple):
    """An attempt to run a task; it may be running.

    Attributes:
        location: Worker of a running task, otherwise the instance that was
            asked to start it.
        since_ms: Monotonic time at which the attempt entered this state.
    """

    task_id: str
    job_id: str
    task_index: int
    state: TaskState
    location: str
    since_ms: int


class Job:
    """An open job.

    Attributes:
        row_version: Version of the job's row in the table service.
        reference: Key of the payload in the object store, or empty if the
            payload is inline.
        decided_state: Final state that the job gets once none of its tasks
            runs; empty until it is decided.
        start_mark: Mark in the row: tasks below this index may have run.
            Only kept for jobs that are not idempotent.
        not_before_ms: Earliest monotonic time of the next attempt.
        refusals: Refused attempts since the last accepted one.
    """

    def __init__(
        self,
        job_id: str,
        spec: jobs_model.JobSpec,
        row_version: int,
        reference: str = "",
        start_mark: int = 0,
    ) -> None:
        self.job_id = job_id
        self.spec = spec
        self.row_version = row_version
        self.reference = reference
        self.start_mark = start_mark
        self.waiting: collections.deque[int] = collections.deque(
            range(spec.tasks)
        )
        self.active: dict[int, str] = {}
        self.ended: set[int] = set()
        self.failures: dict[int, int] = {}
        self.failed_workers: set[str] = set()
        self.not_before_ms = 0
        self.refusals = 0
        self.decided_state = ""
        self.detail = ""

    @property
    def is_complete(self) -> bool:
        """Whether the job can be closed."""
        if self.decided_state:
            return not self.active
        return len(self.ended) == self.spec.tasks

    @property
    def is_partial_gang(self) -> bool:
        """Whether only a part of a gang runs, so that it must restart."""
        return self.spec.gang and bool(self.waiting) and bool(self.active)

    @property
    def final_state(self) -> str:
        """The state in which the job is closed."""
        return self.decided_state or jobs_model.FINISHED

    def status(self) -> jobs_model.JobStatus:
        """Returns the status for callers."""
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

    def activate(self, index: int, task_id: str) -> None:
        """Makes a waiting task active with an attempt."""
        try:
            self.waiting.remove(index)
        except ValueError:
            pass
        self.active[index] = task_id

    @property
    def is_mark_exact(self) -> bool:
        """Whether the start mark covers only tasks that run or have ended."""
        return self.start_mark <= self.required_mark()

    def required_mark(self) -> int:
        """Returns the index above all tasks that run or have ended."""
        return max([-1, *self.active, *self.ended]) + 1

    def requeue_first(self, index: int) -> None:
        """Requeues a task that did not start, ahead of the others."""
        self.active.pop(index, None)
        if not self.decided_state and index not in self.ended:
            self.waiting.appendleft(index)

    def requeue(self, index: int) -> None:
        """Requeues a task behind the others, unless the job is ending.

        A gang reruns as a whole, including tasks that had finished.
        """
        self.active.pop(index, None)
        if self.decided_state or index in self.ended:
            return
        self.waiting.append(index)
        if self.spec.gang:
            self.restart_gang()

    def restart_gang(self) -> None:
        """Requeues the finished tasks of a gang."""
        self.waiting.extend(self.ended)
        self.ended.clear()

    def record_finished(self, index: int) -> None:
        """Records that a task finished."""
        self.active.pop(index, None)
        self.ended.add(index)

    def decide_state(self, state: str, detail: str) -> None:
        """Decides the final state; the first decision stands."""
        if self.decided_state:
            return
        self.decided_state = state
        self.detail = detail
        self.waiting.clear()

    def task_spec(self, task_id: str, index: int) -> model.TaskSpec:
        """Returns the specification of an attempt for an instance."""
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
    """Returns the id of an attempt; `token` makes it unique."""
    return f"{job_id}~{index}~{token}"


def index_of(task_id: str) -> int | None:
    """Returns the task index in an attempt id, or None if malformed."""
    parts = task_id.split("~")
    if len(parts) != 3 or not parts[1].isdecimal():
        return None
    return int(parts[1])
