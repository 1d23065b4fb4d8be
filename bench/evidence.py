"""What a run leaves behind for the judge.

Worker records come from the stand-ins, submissions and jobs from the callers;
nothing here is what an entry instance says about itself, apart from the
configuration version that it answers to operators.
All times are of the machine's monotonic clock, in milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from bench import layouts

Record = Mapping[str, Any]


class Submission(NamedTuple):
    """One request to run work, as its caller sees it.

    Attributes:
        use: Kind of work, e.g. `lookup`.
        outcome: `answered`, `refused` or `unknown`.
        ran: What a refusal says: `no` or `unknown`.
        correct: Whether an answer is complete and carries the own token.
    """

    token: str
    use: str
    team: str
    key_id: str
    zone: str
    idempotent: bool
    idempotency_key: str
    sent_ms: int
    done_ms: int = 0
    outcome: str = "unknown"
    status: int = 0
    code: str = ""
    ran: str = "unknown"
    correct: bool = True


class Job(NamedTuple):
    """An accepted job, as its caller sees it.

    Attributes:
        endless: Whether it runs until it is cancelled.
        cancelled: Whether a cancellation was acknowledged.
        reported: Last state that was reported; empty if none.
    """

    token: str
    job_id: str
    team: str
    tasks: int
    idempotent: bool
    accepted_ms: int
    endless: bool = False
    cancelled: bool = False
    reported: str = ""


class LimitChange(NamedTuple):
    """A team's upper limit that an operator changed."""

    team: str
    limit: int
    at_ms: int


class Withdrawal(NamedTuple):
    """A key whose withdrawal was accepted."""

    key_id: str
    at_ms: int


class Disturbance(NamedTuple):
    """A fault that keeps a change from reaching every zone.

    Attributes:
        kind: `cut` of a zone or `store`.
        zone: The zone that is cut; empty for the store.
    """

    kind: str
    zone: str
    from_ms: int
    to_ms: int


class PlannedStop(NamedTuple):
    """A graceful stop of an entry instance."""

    entry: str
    asked_ms: int
    ended_ms: int
    status: int
    forced: bool


class VersionSeen(NamedTuple):
    """The configuration version that an entry instance answers."""

    entry: str
    version: int
    text: str
    at_ms: int


class VersionAccepted(NamedTuple):
    """A configuration that was accepted."""

    version: int
    text: str
    at_ms: int


class Evidence(NamedTuple):
    """All of a run.

    Attributes:
        records: Worker records in order of time.
        interruptions: Records of the balancers.
        link_bytes: Bytes sent over the link between regions, all directions.
        from_ms: Begin of the load.
        to_ms: End of the run, after everything was given time to finish.
    """

    layout: layouts.Layout
    records: list[Record]
    submissions: list[Submission]
    jobs: list[Job]
    limits: list[LimitChange] = []
    withdrawals: list[Withdrawal] = []
    disturbances: list[Disturbance] = []
    stops: list[PlannedStop] = []
    interruptions: list[Record] = []
    versions_seen: list[VersionSeen] = []
    versions_accepted: list[VersionAccepted] = []
    link_bytes: int = 0
    from_ms: int = 0
    to_ms: int = 0
