"""Types of jobs and of the coordinator."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.scheduling import model

# States of a job; the last four are final.
WAITING = "waiting"
RUNNING = "running"
FINISHED = "finished"
FAILED = "failed"
CANCELLED = "cancelled"
IMPOSSIBLE = "impossible"
FINAL_STATES = frozenset({FINISHED, FAILED, CANCELLED, IMPOSSIBLE})


class JobSpec(NamedTuple):
    """A job as it was submitted.

    Attributes:
        tasks: Number of equal tasks.
        gang: Whether all tasks must run at once.
        deadline_ms: Latest start in wall clock milliseconds, or None.
        group: Name under which jobs can be cancelled together.
        payload: Passed to each task as it is.
        idempotent: Whether a task may run again after its outcome was lost.
    """

    team: str
    queue: str
    kind: str
    service: str
    tasks: int
    resources: model.Resources
    gang: bool = False
    expected_run_ms: int | None = None
    deadline_ms: int | None = None
    urgent: bool = False
    group: str = ""
    payload: bytes = b""
    idempotent: bool = True
    priority: int = 0


class JobStatus(NamedTuple):
    """What is known about a job.

    Attributes:
        state: One of the states named in this module.
        tasks: Number of tasks.
        waiting: Tasks that have not started or will start again.
        detail: Reason of a failure, or why the job waits.
    """

    job_id: str
    team: str
    state: str
    tasks: int
    waiting: int = 0
    running: int = 0
    finished: int = 0
    failed: int = 0
    detail: str = ""
