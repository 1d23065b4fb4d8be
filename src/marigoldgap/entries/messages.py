"""Messages of links: handshake, heartbeat, terms, holdings and answers."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.entries import registry
from marigoldgap.scheduling import model


class Count(NamedTuple):
    """A number of tasks of one team or queue; 0 in a delta means gone."""

    name: str
    number: int


class ServiceFree(NamedTuple):
    """Free resources of the sender's workers of one service."""

    service: str
    free: model.Resources


class OwnedReport(NamedTuple):
    """A worker that the sender owns and the job tasks on it."""

    worker_id: str
    service: str
    capacity: model.Resources
    tasks: tuple[model.RunningTask, ...]


class HoldingEntry(NamedTuple):
    """A team's account at one instance; see allowance_model.HoldingReport."""

    team: str
    sequence: int
    granted_total: int
    returned_total: int
    running: int
    orphaned: int


class Outcome(NamedTuple):
    """The state of a job task as its worker reported it.

    Attributes:
        state: A state of `workers.model.TaskChange` or of a stop answer.
    """

    task_id: str
    worker_id: str
    state: str
    exit_code: int | None


@registry.message("challenge")
class Challenge(NamedTuple):
    """First message of the accepting side: a nonce to be proved over."""

    nonce: bytes


@registry.message("hello")
class Hello(NamedTuple):
    """Names the sender and proves that it knows the cluster secret.

    Attributes:
        incarnation: Random token of the sending process.
        nonce: Nonce for the other side's proof.
        proof: HMAC over both nonces and the sender's names.
    """

    instance_id: str
    zone: str
    incarnation: str
    nonce: bytes
    proof: bytes


@registry.message("heartbeat")
class Heartbeat(NamedTuple):
    """Sign of life with what changed since the last one on this link.

    Attributes:
        generation: Number of changes to the set of owned workers.
        full: Whether the lists hold everything instead of the changes.
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
    """Answer to a call that returns nothing."""


@registry.message("termAnnounce")
class TermAnnounce(NamedTuple):
    """A coordinator announces its term; the receiver sends TermReport."""

    term: model.Term


@registry.message("termReport")
class TermReport(NamedTuple):
    """Everything that an instance owns, runs and holds.

    Attributes:
        term: The term that the sender obeys.
        accepted: Whether the announced term was accepted.
        incarnation: Process for which the holdings speak.
        placing: Job tasks whose start is under way; no worker is known yet.
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
        restarted: Workers whose earlier tasks are all gone.
        outcomes: Ended tasks; they apply before the changes of workers.
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
    """Workers that the receiver lost were taken over, or have lapsed."""

    term: model.Term
    worker_ids: tuple[str, ...]


@registry.message("holdingRequest")
class HoldingRequest(NamedTuple):
    """Asks the coordinator for `wanted` more units; answer: HoldingGrant."""

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
    """Accounts of the sender after it gave units back.

    Also the answer to AllowanceNotice and HoldingRecall.
    """

    term: model.Term
    incarnation: str
    holdings: tuple[HoldingEntry, ...]


@registry.message("holdingRecall")
class HoldingRecall(NamedTuple):
    """Asks for unused units of a team, of which `keep` may stay."""

    term: model.Term
    team: str
    keep: int


@registry.message("allowanceNotice")
class AllowanceNotice(NamedTuple):
    """The zone lowers its allowance of a team; answer: HoldingReturn.

    Attributes:
        ceiling: Units that the receiver may keep.
    """

    term: model.Term
    team: str
    allowance: int
    sequence: int
    ceiling: int
