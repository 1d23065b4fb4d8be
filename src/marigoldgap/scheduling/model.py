"""Types that the decisions and the peers share."""

from __future__ import annotations

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of each resource of a worker.

    Attributes:
        slots: Tasks that run side by side.
        connections: Open connections to the worker.
        millicores: Processor time in thousandths of a core.
        memory_mib: Memory in MiB.
        accelerators: Whole accelerators.
    """

    slots: int = 1
    connections: int = 1
    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0


class WorkerInfo(NamedTuple):
    """A worker as the platform describes it.

    Attributes:
        address: `ip:port` of the worker's HTTP interface.
        service: Service whose tasks the worker can run.
        leaving: Whether the backend server is being taken away.
    """

    worker_id: str
    zone: str
    rack: str
    address: str
    service: str
    capacity: Resources
    leaving: bool = False


class TaskSpec(NamedTuple):
    """One unit of work to place.

    Attributes:
        kind: Name of the placement policy: quick, batch, gang or service.
        deadline_ms: Latest start on the clock that the caller passes as
            `now_ms`, or None.
        expected_run_ms: Declared run time, or None.
        job_id: Job that the task belongs to; empty for a request.
        attempt: 0 for the first start, then one more for each restart.
    """

    task_id: str
    team: str
    queue: str
    kind: str
    resources: Resources
    service: str
    idempotent: bool = True
    urgent: bool = False
    deadline_ms: int | None = None
    expected_run_ms: int | None = None
    job_id: str = ""
    attempt: int = 0
    priority: int = 0


class RunningTask(NamedTuple):
    """A task that a worker runs, as the worker reports it."""

    task_id: str
    worker_id: str
    team: str
    queue: str
    resources: Resources
    job_id: str = ""
    attempt: int = 0


class Term(NamedTuple):
    """Authority of a zone coordinator; a higher term wins.

    Attributes:
        counter: One more than the highest counter seen.
        instance_id: The coordinator; breaks ties.
    """

    counter: int
    instance_id: str


NO_TERM = Term(0, "")
