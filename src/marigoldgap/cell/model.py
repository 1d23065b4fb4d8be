"""Data model of a cell's scheduler: jobs, workers and configuration."""

from __future__ import annotations

import enum
from typing import NamedTuple

# Largest integer in a message. All JSON implementations represent integers up to
# it exactly (RFC 8259); arithmetic with floats fails for far larger ones.
MAX_INTEGER = 2**53 - 1


class Demand(NamedTuple):
    """Amounts of resources that a task needs or a worker has."""

    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0


class StepSpec(NamedTuple):
    """One step of a job: identical tasks with the same prerequisites.

    Attributes:
        task_count: Number of tasks.
        demand: Resources that each task needs.
        estimate_ms: Declared run time of a task; often inaccurate.
        after: Numbers of the steps that must be done first.
        checkpoints: Whether tasks save their progress.
        is_gang: Whether all tasks must run at the same time.
        same_rack: Whether a gang is slow if it spans several racks.
        required_label: Label that the worker must have, or empty.
        data_rack: Label of the rack that holds the data, or empty.
        max_per_worker: Maximum number of tasks of the step on one worker; 0:
            no limit.
        may_run_twice: Whether copies of a task may run at the same time.
        is_long_running: Whether tasks run until the job is cancelled.
        uses_idle_only: Whether tasks use only idle cores, so that the cores of
            their demand do not count against the capacity.
    """

    task_count: int
    demand: Demand
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    may_run_twice: bool = False
    is_long_running: bool = False
    uses_idle_only: bool = False

    @property
    def taken(self) -> Demand:
        """What a task takes of the capacity of its worker: idle cores do not count.

        All sums of what a worker has left add and subtract this value.
        """
        if not self.uses_idle_only:
            return self.demand
        return self.demand._replace(millicores=0)


class JobSpec(NamedTuple):
    """A job as its caller submitted it.

    Attributes:
        payload: Text that is passed to each task.
        steps: The steps, in the order of their numbers.
        first_due_ms: Wall time at which occurrence 0 is due; 0: at once.
        interval_ms: Time between the due times of two occurrences.
        occurrences: How often the steps run; 0 counts as 1.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0


class JobState(enum.Enum):
    """State of a job as its caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


class PlacementAdvice(NamedTuple):
    """Declared times of the advice service for a queue, in milliseconds.

    Attributes:
        decide_ms: Fixed time of a call.
        each_ms: Further time for each worker that a call asks about.
        valid_ms: Time for which a ticket is valid.
    """

    decide_ms: float
    each_ms: float
    valid_ms: float


class Queue(NamedTuple):
    """A queue of jobs.

    Attributes:
        name: Name in the configuration.
        host: Host name of its requests.
        prefix: Path prefix of its requests.
        service: Service whose workers run its tasks.
        priority: Priority; 0 is planned first.
        attempts: Failed runs of a task after which its job fails.
        stretch: Factor on the declared run time of a job in its latency
            objective.
        target_ms: Constant part of the latency objective, in milliseconds.
        is_open: Whether requests need no API key.
        advice: Times of the advice service, if tasks may run only on workers
            that it advises; None otherwise.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    target_ms: float
    is_open: bool
    advice: PlacementAdvice | None


class JobRecord(NamedTuple):
    """An accepted job as it is stored.

    Attributes:
        job_id: Identifier chosen by the caller.
        queue: The queue as it was configured when the job was accepted.
        workspace: Workspace of the API key, or empty for an open queue.
        accepted_ms: Wall time of acceptance, by the accepting instance.
        spec: The submitted job.
        is_cancelled: Whether the caller cancelled the job.
    """

    job_id: str
    queue: Queue
    workspace: str
    accepted_ms: int
    spec: JobSpec
    is_cancelled: bool = False


class Workspace(NamedTuple):
    """A workspace, which submits jobs and has a fair rate and limits.

    Attributes:
        name: Name in the configuration.
        jobs_per_s: Rate of accepted jobs that is its fair share.
        limit: Upper limit on the resources that its running tasks use; 0: no
            limit on that resource.
    """

    name: str
    jobs_per_s: float
    limit: Demand


class RequestLimits(NamedTuple):
    """Limits of HTTP requests; 0 means that the limit is not configured."""

    header_bytes: int
    body_bytes: int
    header_ms: float
    idle_ms: float


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Number of the version; increases with each change.
        queues: All queues.
        keys: Name of the workspace by API key.
        workspaces: Workspaces by name.
        limits: Limits of HTTP requests.
        services: Names of all services.
    """

    version: int
    queues: tuple[Queue, ...]
    keys: dict[str, str]
    workspaces: dict[str, Workspace]
    limits: RequestLimits
    services: frozenset[str] = frozenset()

    @property
    def limited_workspaces(self) -> frozenset[str]:
        """Names of the workspaces that have an upper limit."""
        return frozenset(
            name
            for name, workspace in self.workspaces.items()
            if any(workspace.limit)
        )

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best

    def queue_named(self, name: str) -> Queue | None:
        """Returns the queue with the given name, or None."""
        return next((each for each in self.queues if each.name == name), None)


class Registration(NamedTuple):
    """Registration of a worker.

    Attributes:
        worker_id: Identifier; a restarted worker may reuse it.
        service: Service that it belongs to.
        address: `ip:port` for commands to it.
        zone: Availability zone.
        is_draining: Whether it accepts no new tasks.
        capacity: Total resources.
        labels: Labels that steps may require.
        rack: The label that names its rack, or empty.
        born_ms: Wall time at which its process started, which identifies its
            incarnation; 0 if unknown.
        cold_until_s: Monotonic time of this instance, in seconds, until which
            its process is slow after a start or an evacuation; not stored.
    """

    worker_id: str
    service: str
    address: str
    zone: str
    is_draining: bool
    capacity: Demand
    labels: frozenset[str]
    rack: str
    born_ms: int
    cold_until_s: float = 0.0


class TaskName(NamedTuple):
    """Name of a task; `position` counts from 0 within the step."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.position}"


class RunName(NamedTuple):
    """Name of one run of a task; `run` increases with each start."""

    task: TaskName
    run: int

    def __str__(self) -> str:
        return f"{self.task}#{self.run}"


class EndReason(enum.Enum):
    """Reason for which a run ended.

    Only FAILED counts as a failed run of the task, and only CRASHED as a worker
    that crashed under it. After any reason but DONE, the task waits for another
    run unless its job has ended, and the other runs of a gang are stopped.

    Attributes:
        DONE: The task is done.
        FAILED: The task failed.
        STOPPED: A stop command ended the run.
        LAPSED: The lease expired, or the worker or the run was lost.
        CRASHED: The process of the worker ended without notice.
        BROKEN: The worker reported `broken`; handled like STOPPED.
        ALONE: The worker reported `alone`; handled like STOPPED.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    CRASHED = "crashed"
    BROKEN = "broken"
    ALONE = "alone"


class ActiveRun(NamedTuple):
    """A run that a worker lists as running.

    Attributes:
        name: Name of the run.
        saved: Latest saved progress, from which another run can resume.
        percent: Progress in percent.
    """

    name: RunName
    saved: str
    percent: float


class EndedRun(NamedTuple):
    """A run that a worker lists as ended.

    Attributes:
        number: Number of the end; increases within one incarnation of the
            worker.
        name: Name of the run.
        how: Reason for which it ended.
        saved: Latest saved progress, from which another run can resume.
    """

    number: int
    name: RunName
    how: EndReason
    saved: str


class WorkerListing(NamedTuple):
    """Answer of a worker to a lease renewal: its clock and its runs.

    Attributes:
        clock_ms: Clock of the worker, on which leases end.
        born_ms: Wall time at which its process started; 0 if unknown.
        running: Runs that have not ended.
        ended: Ended runs that are not acknowledged yet, the earliest first.
        is_complete: Whether all ended runs are listed. Only then does the
            absence of a run show that the worker does not know it.
    """

    clock_ms: int
    born_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    is_complete: bool = True


class StartOutcome(enum.Enum):
    """Outcome of a start command, as answered by the worker.

    Attributes:
        STARTED: The run has started, now or by an earlier command.
        FENCED: The worker has accepted a higher fencing token.
        OLD_RUN: The worker has ended or stopped a run of the task with this
            number or a higher one.
        LATE: The worker refused the start as too late; the task is planned
            again.
        NO_ROOM: The worker has too little free capacity.
        NO_TICKET: The ticket is missing or not valid.
        OTHER_LIFE: Another worker or incarnation answers at this address.
        UNHEALTHY: The worker answered with status 429 or 503.
        REJECTED: The worker refused the start in any other way.
        OVER_LIMIT: The limit of the workspace was lowered before the worker had
            answered; the task is planned again.
        EVACUATED: The zone of the worker was evacuated before the worker had
            answered; the task is planned again.
        UNANSWERED: The worker answers renewals, but none of many commands to
            start the run.
    """

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    OTHER_LIFE = "other-life"
    UNHEALTHY = "unhealthy"
    REJECTED = "rejected"
    OVER_LIMIT = "over-limit"
    EVACUATED = "evacuated"
    UNANSWERED = "unanswered"


class StartAnswer(NamedTuple):
    """Answer to a start command; `clock_ms` is 0 if the worker sent none."""

    outcome: StartOutcome
    clock_ms: int
