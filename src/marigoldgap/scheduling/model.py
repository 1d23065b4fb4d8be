"""Types shared by the scheduling decisions and their callers."""

from __future__ import annotations

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of each resource of a worker.

    Attributes:
        slots: Tasks that can run concurrently.
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
    """A worker as described by the platform.

    Attributes:
        address: `ip:port` of the worker's HTTP interface.
        service: Service whose tasks the worker can run.
        leaving: Whether the backend server is being decommissioned.
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
        deadline_ms: Deadline in milliseconds on the clock that the caller
            passes as `now_ms`, or None. The policy of the kind derives the
            latest start from it.
        expected_run_ms: Declared run time in milliseconds, or None.
        job_id: Job that the task belongs to; empty for a request.
        attempt: 0 for the first start, incremented on each restart.
        priority: Higher values come first; the priority of a queue of a cell
            is the reverse, with 0 first.
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
    """A running task as reported by its worker."""

    task_id: str
    worker_id: str
    team: str
    queue: str
    resources: Resources
    job_id: str = ""
    attempt: int = 0


class Term(NamedTuple):
    """Election term of a zone coordinator; a higher term replaces lower ones.

    Attributes:
        counter: One more than the highest counter seen by the coordinator.
        instance_id: Instance id of the coordinator; breaks ties.
    """

    counter: int
    instance_id: str


NO_TERM = Term(0, "")
