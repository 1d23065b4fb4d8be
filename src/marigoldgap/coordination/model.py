"""Job specification and job status."""

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
    """A job as submitted by a caller.

    Attributes:
        tasks: Number of identical tasks.
        gang: Whether all tasks must run at the same time.
        deadline_ms: Latest start in wall clock milliseconds, or None.
        group: Name under which jobs can be cancelled together.
        payload: Bytes that each task gets unchanged.
        idempotent: Whether a task whose outcome is unknown may run again.
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
    """Status of a job as reported to callers.

    Attributes:
        state: One of the states named in this module.
        tasks: Number of tasks.
        waiting: Tasks that have not started or that will be retried.
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
