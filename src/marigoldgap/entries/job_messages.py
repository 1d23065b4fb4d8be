"""Messages about jobs, gangs, zone digests and configuration."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.entries import messages
from marigoldgap.entries import registry
from marigoldgap.scheduling import model


class Payload(NamedTuple):
    """The payload of a job, sent once per message for all its tasks.

    Attributes:
        data: The payload itself, if it is small.
        reference: Otherwise its key in the object store.
    """

    job_id: str
    data: bytes
    reference: str


class Placed(NamedTuple):
    """Result of placing one job task; see dispatch.model.PlaceOutcome."""

    task_id: str
    worker_id: str
    refusal: str
    unknown: bool


class TaskAddress(NamedTuple):
    """A task and the worker that runs it."""

    worker_id: str
    task_id: str


class TeamDemand(NamedTuple):
    """Demand and usage of one team in a zone, in tasks.

    Attributes:
        usage_permille: Dominant usage in thousandths of the zone's capacity.
    """

    team: str
    allowance: int
    running: int
    waiting: int
    usage_permille: int


class ConfigRecord(NamedTuple):
    """One configuration version; `content` is JSON."""

    version: int
    kind: str
    author: str
    applied_at_ms: int
    content: str


@registry.message("placeTasks", registry.Traffic.WORK)
class PlaceTasks(NamedTuple):
    """Asks an instance to start tasks on its workers."""

    term: model.Term
    tasks: tuple[model.TaskSpec, ...]
    payloads: tuple[Payload, ...]


@registry.message("placeResult")
class PlaceResult(NamedTuple):
    """Results of PlaceTasks and CommitGang, sent once they are known.

    It is a separate message instead of an answer, so that it stays in order
    with the other reports of the sender.
    """

    term: model.Term
    incarnation: str
    outcomes: tuple[Placed, ...]
    holdings: tuple[messages.HoldingEntry, ...]


@registry.message("stopTasks")
class StopTasks(NamedTuple):
    """Asks an instance to stop or checkpoint tasks on its workers."""

    term: model.Term
    action: str
    tasks: tuple[TaskAddress, ...]


@registry.message("stopResult")
class StopResult(NamedTuple):
    """Answer to StopTasks; an empty state means an unknown outcome."""

    outcomes: tuple[messages.Outcome, ...]


@registry.message("reserveGang")
class ReserveGang(NamedTuple):
    """Asks an instance to reserve capacity for tasks for a limited time."""

    term: model.Term
    reservation_id: str
    expires_in_ms: int
    tasks: tuple[model.TaskSpec, ...]


@registry.message("reserveResult")
class ReserveResult(NamedTuple):
    """Answer to ReserveGang: the tasks for which capacity is reserved."""

    reservation_id: str
    task_ids: tuple[str, ...]


@registry.message("commitGang", registry.Traffic.WORK)
class CommitGang(NamedTuple):
    """Asks an instance to start the tasks of a reservation."""

    term: model.Term
    reservation_id: str
    tasks: tuple[model.TaskSpec, ...]
    payloads: tuple[Payload, ...]


@registry.message("releaseGang")
class ReleaseGang(NamedTuple):
    """Releases a reservation."""

    term: model.Term
    reservation_id: str


@registry.message("jobAccepted")
class JobAccepted(NamedTuple):
    """Jobs whose rows were written to the table service."""

    job_ids: tuple[str, ...]


@registry.message("jobsCancelled")
class JobsCancelled(NamedTuple):
    """Cancels jobs by id, or all jobs of a group of a team."""

    job_ids: tuple[str, ...]
    group: str
    team: str


@registry.message("cancelResult")
class CancelResult(NamedTuple):
    """Answer to JobsCancelled: the jobs that are cancelled."""

    job_ids: tuple[str, ...]


@registry.message("jobsForgotten")
class JobsForgotten(NamedTuple):
    """Closed jobs; the receiver may drop the kept outcomes of their tasks."""

    term: model.Term
    job_ids: tuple[str, ...]


@registry.message("jobQuery")
class JobQuery(NamedTuple):
    """Asks the home zone for the status of a job."""

    job_id: str


@registry.message("jobCheck")
class JobCheck(NamedTuple):
    """Asks whether the zone could ever run a job; `spec` is JSON."""

    spec: str


@registry.message("jobReply")
class JobReply(NamedTuple):
    """Answer to JobQuery; `status` is JSON."""

    status: str


@registry.message("zoneDigest", registry.Traffic.DIGEST)
class ZoneDigest(NamedTuple):
    """Summary of a zone for the coordinators of other zones.

    Attributes:
        full: Whether `teams` holds all teams instead of the changed ones.
    """

    term: model.Term
    zone: str
    full: bool
    config_version: int
    capacity: model.Resources
    free: model.Resources
    teams: tuple[TeamDemand, ...]


@registry.message("configDelta")
class ConfigDelta(NamedTuple):
    """Configuration versions in increasing order, and ids of withdrawn keys."""

    records: tuple[ConfigRecord, ...]
    denied: tuple[str, ...]


@registry.message("configRequest")
class ConfigRequest(NamedTuple):
    """Requests the versions after `since_version`; answer: ConfigDelta."""

    since_version: int


@registry.message("denyKeys")
class DenyKeys(NamedTuple):
    """Withdrawn keys, sent ahead of the version with the withdrawal."""

    key_ids: tuple[str, ...]


@registry.message("denyResult")
class DenyResult(NamedTuple):
    """Answer to DenyKeys: the instances and zones that now refuse the keys."""

    names: tuple[str, ...]


@registry.message("zonesInForce")
class ZonesInForce(NamedTuple):
    """Versions in force by zone, as known to the sending coordinator."""

    zones: tuple[messages.Count, ...]
