"""The rules that are in force."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class TeamRule(NamedTuple):
    """A team, its share of a full cluster and its upper limit in tasks.

    Attributes:
        asked_by: Comment of the line: who asked for the rule.
    """

    name: str
    share: float
    limit: int
    line: int
    asked_by: str
    workspace: str = ""


class QueueRule(NamedTuple):
    """A queue for requests or jobs.

    Attributes:
        kind: Name of the placement policy.
        keyed: Whether a key is needed; open queues run for `team`.
        deadline_s: Default deadline of its work, or None.
        priority: Higher goes first among tasks of equal fairness.
    """

    name: str
    kind: str
    service: str
    keyed: bool
    team: str
    deadline_s: int | None
    priority: int
    line: int
    asked_by: str


class RetryRule(NamedTuple):
    """Bounds of retries: attempts of one task and a team's budget."""

    attempts: int = 3
    budget_percent: int = 10


class QuarantineRule(NamedTuple):
    """When a failing worker is set aside and how often it is probed."""

    after: int = 5
    probe_s: int = 30


class Rules(NamedTuple):
    """All rules of one version.

    Attributes:
        prefer_zones: Zones in the order in which work prefers them.
        text: The text the rules were read from.
    """

    teams: Mapping[str, TeamRule]
    queues: Mapping[str, QueueRule]
    retry: RetryRule = RetryRule()
    quarantine: QuarantineRule = QuarantineRule()
    prefer_zones: tuple[str, ...] = ()
    text: str = ""
