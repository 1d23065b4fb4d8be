"""Jobs, workers and configuration as the scheduler of a cell sees them."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Demand(NamedTuple):
    """Resources that a task needs or a worker has."""

    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0


class StepSpec(NamedTuple):
    """One step of a job: equal tasks that share their prerequisites.

    Attributes:
        task_count: Number of tasks.
        demand: What each task needs.
        estimate_ms: Declared run time of a task; often far off.
        after: Steps that must be done first.
        checkpoints: Whether tasks save their progress.
        is_gang: Whether the tasks work only all at once.
        same_rack: Whether a gang is slow on more than one rack.
        required_label: Label that the worker must have, or empty.
        data_rack: Rack label with the data, or empty.
        max_per_worker: Bound of tasks of the step on one worker; 0: none.
        may_run_twice: Whether copies may run at the same time.
        is_long_running: Whether tasks run until the job is cancelled.
        uses_idle_only: Whether the demand does not count against capacity.
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


class JobSpec(NamedTuple):
    """What a caller submitted.

    Attributes:
        payload: Text handed to each task.
        steps: The steps, in the order of their numbers.
        first_due_ms: Due time of occurrence 0, wall clock; 0: at once.
        interval_ms: Time between occurrences.
        occurrences: How often the steps run; 0: once, without a due time.
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
    """Cost of asking which workers may run a step of a queue, in ms."""

    decide_ms: float
    each_ms: float
    valid_ms: float


class Queue(NamedTuple):
    """A queue of jobs.

    Attributes:
        name: Name in the configuration.
        host: Host of its requests.
        prefix: Start of the paths of its requests.
        service: Service whose workers run its tasks.
        priority: Urgency; 0 comes first.
        attempts: Failed runs after which a task is given up.
        stretch: Factor on the job's work in its latency objective.
        target_ms: Constant part of its latency objective.
        is_open: Whether no key is needed.
        advice: Set where tasks may run only on advised workers.
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
        workspace: Workspace of the key, or empty for an open queue.
        accepted_ms: Wall clock of the accepting instance.
        spec: What was submitted.
        is_cancelled: Whether the caller cancelled it.
    """

    job_id: str
    queue: Queue
    workspace: str
    accepted_ms: int
    spec: JobSpec
    is_cancelled: bool = False


class Workspace(NamedTuple):
    """A group of submitters.

    Attributes:
        name: Name in the configuration.
        jobs_per_s: Accepted rate that counts as its fair share.
        limit: What it may have running; 0 in a part: no bound.
    """

    name: str
    jobs_per_s: float
    limit: Demand


class RequestLimits(NamedTuple):
    """Limits of requests; 0 stands for a value that is not configured."""

    header_bytes: int
    body_bytes: int
    header_ms: float
    idle_ms: float


class Configuration(NamedTuple):
    """One version of the configuration."""

    version: int
    queues: tuple[Queue, ...]
    keys: dict[str, str]
    workspaces: dict[str, Workspace]
    limits: RequestLimits

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
        """Returns the queue with the name."""
        return next((each for each in self.queues if each.name == name), None)


class Registration(NamedTuple):
    """A worker as it registered itself.

    Attributes:
        worker_id: Identifier; a restarted worker may reuse it.
        service: Service that it belongs to.
        address: `ip:port` for its orders.
        zone: Availability zone.
        is_draining: Whether it takes no new tasks.
        capacity: What it has.
        labels: Labels that steps may require.
        rack: The label that names its rack, or empty.
        born_ms: Wall clock of its start; 0 if it does not say.
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


class TaskName(NamedTuple):
    """Name of a task; `position` counts from 0 within the step."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.position}"


class RunName(NamedTuple):
    """One start of a task; `run` rises with each."""

    task: TaskName
    run: int

    def __str__(self) -> str:
        return f"{self.task}#{self.run}"


class HowEnded(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class ActiveRun(NamedTuple):
    """A run that a worker lists as running."""

    name: RunName
    saved: str
    percent: float


class EndedRun(NamedTuple):
    """A run that a worker lists as ended; numbers rise in a worker's life."""

    number: int
    name: RunName
    how: HowEnded
    saved: str


class WorkerListing(NamedTuple):
    """What a worker answers to a lease renewal."""

    clock_ms: int
    born_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


class StartOutcome(enum.Enum):
    """What a worker answered to a start."""

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    OTHER_LIFE = "other-life"
    UNHEALTHY = "unhealthy"
    REJECTED = "rejected"


class StartAnswer(NamedTuple):
    """Answer to a start; `clock_ms` is 0 where the worker did not say."""

    outcome: StartOutcome
    clock_ms: int


class Tickets(NamedTuple):
    """Advice: workers that may run a step, each with its ticket."""

    by_worker: dict[str, str]
    valid_ms: float
