"""Observations of a run, from which its verdict is computed.

Worker records come from the stand-ins, submissions and jobs from the callers.
Nothing is reported by the entry instances themselves, except the configuration
version that they return to operators.
All times are milliseconds of the machine's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from bench import layouts

Record = Mapping[str, Any]


class Submission(NamedTuple):
    """A submitted request or job, as its caller observes it.

    Attributes:
        use: Kind of work, e.g. `lookup`.
        outcome: `answered`, `refused` or `unknown`.
        ran: Whether the work ran, according to a refusal: `no` or `unknown`.
        correct: Whether an answer is complete and has the request's token.
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
    """An accepted job, as its caller observes it.

    Attributes:
        endless: Whether it runs until it is cancelled.
        cancelled: Whether a cancellation was acknowledged.
        reported: Last reported state; empty if none was reported.
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
    """A change of a team's limit by an operator."""

    team: str
    limit: int
    at_ms: int


class Withdrawal(NamedTuple):
    """An accepted withdrawal of a key."""

    key_id: str
    at_ms: int


class Disturbance(NamedTuple):
    """A fault that prevents changes from reaching every zone.

    Attributes:
        kind: `cut` for a zone that is cut off, `store` for a store outage.
        zone: The zone that is cut off; empty for the store.
    """

    kind: str
    zone: str
    from_ms: int
    to_ms: int


class PlannedStop(NamedTuple):
    """A graceful stop of an entry instance.

    Attributes:
        status: Exit status of the process.
        forced: Whether the process had to be killed or had already exited.
    """

    entry: str
    asked_ms: int
    ended_ms: int
    status: int
    forced: bool


class VersionSeen(NamedTuple):
    """The configuration version that an entry instance reported."""

    entry: str
    version: int
    text: str
    at_ms: int


class VersionAccepted(NamedTuple):
    """An accepted configuration version."""

    version: int
    text: str
    at_ms: int


class Observations(NamedTuple):
    """All observations of a run.

    Attributes:
        records: Worker records in order of time.
        interruptions: Interrupted requests, as recorded by the balancers.
        link_bytes: Bytes sent over the link between regions, all directions.
        from_ms: Begin of the load.
        to_ms: End of the run, after work had time to finish.
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
