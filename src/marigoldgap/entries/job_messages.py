"""Messages about jobs, gangs, zone digests and configuration."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.entries import messages
from marigoldgap.entries import registry
from marigoldgap.scheduling import model


class Payload(NamedTuple):
    """The payload of a job, sent once for all its tasks in a message.

    Attributes:
        data: The payload itself, if it is small.
        reference: Key in the object store otherwise.
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
    """What a zone needs and uses for one team, in tasks.

    Attributes:
        usage_permille: Dominant usage in thousandths of the zone.
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
    """Results of PlaceTasks and CommitGang; sent when they are known.

    It is a message of its own and no answer, so that it keeps its order
    among the sender's other reports.
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
    """Answer to StopTasks; an empty state means that it is not known."""

    outcomes: tuple[messages.Outcome, ...]


@registry.message("reserveGang")
class ReserveGang(NamedTuple):
    """Asks an instance to keep room for tasks for a limited time."""

    term: model.Term
    reservation_id: str
    expires_in_ms: int
    tasks: tuple[model.TaskSpec, ...]


@registry.message("reserveResult")
class ReserveResult(NamedTuple):
    """The tasks for which room is kept."""

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
    """Gives up a reservation."""

    term: model.Term
    reservation_id: str


@registry.message("jobAccepted")
class JobAccepted(NamedTuple):
    """Rows of these jobs were written."""

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
    """These jobs are closed; kept outcomes of their tasks may go."""

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
    """State of a zone, for the coordinators of other zones.

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
    """Configuration versions in increasing order, and withdrawn keys."""

    records: tuple[ConfigRecord, ...]
    denied: tuple[str, ...]


@registry.message("configRequest")
class ConfigRequest(NamedTuple):
    """Asks for the versions after `since_version`; answer: ConfigDelta."""

    since_version: int


@registry.message("denyKeys")
class DenyKeys(NamedTuple):
    """Withdrawn keys, passed on before a version with them is adopted."""

    key_ids: tuple[str, ...]


@registry.message("denyResult")
class DenyResult(NamedTuple):
    """Answer to DenyKeys: instances and zones that refuse the keys now."""

    names: tuple[str, ...]


@registry.message("zonesInForce")
class ZonesInForce(NamedTuple):
    """The coordinator's knowledge of the versions in force in all zones."""

    zones: tuple[messages.Count, ...]
