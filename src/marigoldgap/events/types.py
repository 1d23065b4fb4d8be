"""The events that instances record; fields ending in `_id` can be searched."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.events import registry

# A span is one try to run a task; its attempts have the same task id.
_TASK = "task_id"
_JOB = "job_id"


@registry.event("request-accepted")
class RequestAccepted(NamedTuple):
    """A request passed the key check and the rules."""

    task_id: str
    team: str
    queue: str


@registry.event("request-refused")
class RequestRefused(NamedTuple):
    """A request was refused; `code` and `ran` went to the caller."""

    task_id: str
    team: str
    queue: str
    code: str
    ran: str


@registry.event("request-answered")
class RequestAnswered(NamedTuple):
    """The complete answer went to the caller."""

    task_id: str
    status: int
    duration_ms: int


@registry.event("task-started", phase="begin", span=_TASK)
class TaskStarted(NamedTuple):
    """A start was sent to a worker."""

    task_id: str
    worker_id: str
    team: str
    job_id: str
    attempt: int
    epoch: int


@registry.event("task-ended", phase="end", span=_TASK)
class TaskEnded(NamedTuple):
    """A task ended, or its start was refused."""

    task_id: str
    worker_id: str
    job_id: str
    state: str


@registry.event("task-forwarded")
class TaskForwarded(NamedTuple):
    """A request was handed to another entry instance."""

    task_id: str
    peer_id: str
    reason: str


@registry.event("job-accepted", phase="begin", span=_JOB)
class JobAccepted(NamedTuple):
    """A job is stored."""

    job_id: str
    team: str
    queue: str
    tasks: int


@registry.event("job-ended", phase="end", span=_JOB)
class JobEnded(NamedTuple):
    """A job finished, failed, was cancelled or is impossible."""

    job_id: str
    state: str


@registry.event("jobs-cancelled")
class JobsCancelled(NamedTuple):
    """Jobs were cancelled by one call."""

    jobs: int
    group: str


@registry.event("gang-reserved")
class GangReserved(NamedTuple):
    """Capacity for all tasks of a gang is held, or was not found."""

    job_id: str
    tasks: int
    complete: bool


@registry.event("lease-acquired")
class LeaseAcquired(NamedTuple):
    """A worker granted its lease to this instance."""

    worker_id: str
    epoch: int
    running: int


@registry.event("lease-lost")
class LeaseLost(NamedTuple):
    """A lease was released, has lapsed or went to another instance."""

    worker_id: str
    epoch: int
    reason: str


@registry.event("worker-leaving")
class WorkerLeaving(NamedTuple):
    """A backend server is being taken away."""

    worker_id: str
    source: str


@registry.event("worker-quarantined")
class WorkerQuarantined(NamedTuple):
    """Tasks of too many different jobs failed on a worker."""

    worker_id: str
    failures: int


@registry.event("worker-restarted")
class WorkerRestarted(NamedTuple):
    """A worker has a new incarnation."""

    worker_id: str
    incarnation: str


@registry.event("peer-linked")
class PeerLinked(NamedTuple):
    """A connection to another entry instance is open."""

    peer_id: str


@registry.event("peer-lost")
class PeerLost(NamedTuple):
    """Another entry instance is considered dead."""

    peer_id: str
    silent_ms: int


@registry.event("term-started")
class TermStarted(NamedTuple):
    """A coordinator announced a term."""

    coordinator_id: str
    counter: int


@registry.event("barrier-complete")
class BarrierComplete(NamedTuple):
    """A new coordinator knows all that runs in its zone."""

    counter: int
    waited_ms: int


@registry.event("allowance-changed")
class AllowanceChanged(NamedTuple):
    """The zone's part of a team's upper limit changed."""

    team: str
    units: int


@registry.event("config-adopted")
class ConfigAdopted(NamedTuple):
    """A configuration version is in force here."""

    version: int
    author: str


@registry.event("key-denied")
class KeyDenied(NamedTuple):
    """A withdrawn key is refused here from now on."""

    key_id: str


@registry.event("service-down")
class ServiceDown(NamedTuple):
    """A service of the platform does not answer."""

    service: str


@registry.event("service-up")
class ServiceUp(NamedTuple):
    """A service of the platform answers again."""

    service: str


@registry.event("drain-started", phase="begin", span="instance_id")
class DrainStarted(NamedTuple):
    """The instance is stopping and takes no new work."""

    instance_id: str


@registry.event("drain-ended", phase="end", span="instance_id")
class DrainEnded(NamedTuple):
    """The instance has no work left."""

    instance_id: str
    handed_over: int
