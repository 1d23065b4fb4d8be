"""Messages about links, terms and holdings, and general answers."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.entries import registry
from marigoldgap.scheduling import model


class Count(NamedTuple):
    """A number with the name that it belongs to, e.g. of a team or queue.

    In a list of changes, the number 0 removes the entry.
    """

    name: str
    number: int


class ServiceFree(NamedTuple):
    """Free resources of the sender's workers of one service."""

    service: str
    free: model.Resources


class OwnedReport(NamedTuple):
    """A worker that the sender owns, and the job tasks running on it."""

    worker_id: str
    service: str
    capacity: model.Resources
    tasks: tuple[model.RunningTask, ...]


class HoldingEntry(NamedTuple):
    """The holding of a team on one instance.

    See `allowance_model.HoldingReport`.
    """

    team: str
    sequence: int
    granted_total: int
    returned_total: int
    running: int
    orphaned: int


class Outcome(NamedTuple):
    """The state of a job task, as reported by its worker.

    Attributes:
        state: A state of `workers.model.TaskChange`, or of the answer to a
            stop request.
    """

    task_id: str
    worker_id: str
    state: str
    exit_code: int | None


@registry.message("challenge")
class Challenge(NamedTuple):
    """First message of the accepting side: a nonce for the dialer's proof."""

    nonce: bytes


@registry.message("hello")
class Hello(NamedTuple):
    """Identifies the sender and proves that it knows the cluster secret.

    Attributes:
        incarnation: Random token of the sending process.
        nonce: Nonce for the other side's proof.
        proof: HMAC over both nonces and the sender's role, instance id, zone
            and incarnation.
    """

    instance_id: str
    zone: str
    incarnation: str
    nonce: bytes
    proof: bytes


@registry.message("heartbeat")
class Heartbeat(NamedTuple):
    """Periodic liveness message with the sender's state and load.

    Attributes:
        generation: Number of changes to the set of owned workers.
        full: Whether the lists hold the whole load instead of the changes
            since the last heartbeat on this link.
    """

    draining: bool
    term: model.Term
    config_version: int
    generation: int
    full: bool
    free: tuple[ServiceFree, ...]
    waiting: tuple[Count, ...]
    running: tuple[Count, ...]


@registry.message("failure")
class Failure(NamedTuple):
    """Answer to a call whose handler raised an error."""

    code: str
    detail: str


@registry.message("done")
class Done(NamedTuple):
    """Answer to a call without a result."""


@registry.message("termAnnounce")
class TermAnnounce(NamedTuple):
    """Announces a coordinator's term; the receiver then sends TermReport."""

    term: model.Term


@registry.message("termReport")
class TermReport(NamedTuple):
    """Workers, job tasks and holdings of an instance.

    Attributes:
        term: The term that the sender obeys.
        accepted: Whether the sender accepted the announced term.
        incarnation: Process to which the holdings belong.
        placing: Job tasks that are being started, without a known worker yet.
        outcomes: Ended job tasks of jobs that are still open.
    """

    term: model.Term
    accepted: bool
    incarnation: str
    workers: tuple[OwnedReport, ...]
    placing: tuple[model.RunningTask, ...]
    holdings: tuple[HoldingEntry, ...]
    outcomes: tuple[Outcome, ...]


@registry.message("workersChanged")
class WorkersChanged(NamedTuple):
    """Changes of worker ownership since the last report of the sender.

    Attributes:
        restarted: Restarted workers; none of their earlier tasks runs.
        outcomes: Ended tasks, to be applied before the changes of workers.
    """

    term: model.Term
    incarnation: str
    acquired: tuple[OwnedReport, ...]
    lost: tuple[str, ...]
    restarted: tuple[str, ...]
    outcomes: tuple[Outcome, ...]
    holdings: tuple[HoldingEntry, ...]


@registry.message("workersSettled")
class WorkersSettled(NamedTuple):
    """Workers lost by the receiver that have a new owner or have lapsed."""

    term: model.Term
    worker_ids: tuple[str, ...]


@registry.message("holdingRequest")
class HoldingRequest(NamedTuple):
    """Requests `wanted` more units of a holding; answer: HoldingGrant."""

    term: model.Term
    incarnation: str
    wanted: int
    entry: HoldingEntry


@registry.message("holdingGrant")
class HoldingGrant(NamedTuple):
    """Adds units to a holding; see allowance_model.HoldingGrant."""

    term: model.Term
    incarnation: str
    team: str
    granted_total: int
    units: int


@registry.message("holdingReturn")
class HoldingReturn(NamedTuple):
    """Holdings of the sender after it returned units.

    Also the answer to AllowanceNotice and HoldingRecall.
    """

    term: model.Term
    incarnation: str
    holdings: tuple[HoldingEntry, ...]


@registry.message("holdingRecall")
class HoldingRecall(NamedTuple):
    """Requests the unused units of a team, of which `keep` may be kept."""

    term: model.Term
    team: str
    keep: int


@registry.message("allowanceNotice")
class AllowanceNotice(NamedTuple):
    """Announces a lower allowance of a team in the zone.

    The answer is HoldingReturn.

    Attributes:
        ceiling: Units that the receiver may keep.
    """

    term: model.Term
    team: str
    allowance: int
    sequence: int
    ceiling: int
