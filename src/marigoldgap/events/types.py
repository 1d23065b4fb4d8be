"""Types of recorded events; fields ending in `_id` are searchable."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.events import registry

# A span is one attempt to run a task; all attempts share the task id.
_TASK = "task_id"
_JOB = "job_id"


@registry.event("request-accepted")
class RequestAccepted(NamedTuple):
    """A request passed the key check and the checks of the rules."""

    task_id: str
    team: str
    queue: str


@registry.event("request-refused")
class RequestRefused(NamedTuple):
    """A request was refused; the caller received `code` and `ran`."""

    task_id: str
    team: str
    queue: str
    code: str
    ran: str


@registry.event("request-answered")
class RequestAnswered(NamedTuple):
    """The complete answer was sent to the caller."""

    task_id: str
    status: int
    duration_ms: int


@registry.event("task-started", phase="begin", span=_TASK)
class TaskStarted(NamedTuple):
    """A start command was sent to a worker."""

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
    """A request was forwarded to another entry instance."""

    task_id: str
    peer_id: str
    reason: str


@registry.event("job-accepted", phase="begin", span=_JOB)
class JobAccepted(NamedTuple):
    """A job was accepted and stored."""

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
    """An attempt to reserve capacity for all tasks of a gang ended.

    Attributes:
        complete: Whether capacity for all tasks is reserved.
    """

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
    """A lease was released, expired or passed to another instance."""

    worker_id: str
    epoch: int
    reason: str


@registry.event("worker-leaving")
class WorkerLeaving(NamedTuple):
    """A backend server is being removed."""

    worker_id: str
    source: str


@registry.event("worker-quarantined")
class WorkerQuarantined(NamedTuple):
    """A worker is quarantined after failures of too many different jobs."""

    worker_id: str
    failures: int


@registry.event("worker-restarted")
class WorkerRestarted(NamedTuple):
    """A worker restarted and has a new incarnation."""

    worker_id: str
    incarnation: str


@registry.event("peer-linked")
class PeerLinked(NamedTuple):
    """A connection to another entry instance was opened."""

    peer_id: str


@registry.event("peer-lost")
class PeerLost(NamedTuple):
    """Another entry instance is considered dead."""

    peer_id: str
    silent_ms: int


@registry.event("term-started")
class TermStarted(NamedTuple):
    """A coordinator announced a new term."""

    coordinator_id: str
    counter: int


@registry.event("barrier-complete")
class BarrierComplete(NamedTuple):
    """A new coordinator has received the full inventory of its zone."""

    counter: int
    waited_ms: int


@registry.event("allowance-changed")
class AllowanceChanged(NamedTuple):
    """The allowance, the zone's part of a team's upper limit, changed."""

    team: str
    units: int


@registry.event("config-adopted")
class ConfigAdopted(NamedTuple):
    """A configuration version took effect on this instance."""

    version: int
    author: str


@registry.event("key-denied")
class KeyDenied(NamedTuple):
    """A withdrawn key is refused on this instance from now on."""

    key_id: str


@registry.event("service-down")
class ServiceDown(NamedTuple):
    """A service of the platform became unavailable."""

    service: str


@registry.event("service-up")
class ServiceUp(NamedTuple):
    """A service of the platform became available again."""

    service: str


@registry.event("drain-started", phase="begin", span="instance_id")
class DrainStarted(NamedTuple):
    """The instance is stopping and accepts no new work."""

    instance_id: str


@registry.event("drain-ended", phase="end", span="instance_id")
class DrainEnded(NamedTuple):
    """The stopping instance has no work left."""

    instance_id: str
    handed_over: int
