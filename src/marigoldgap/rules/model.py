"""Model of a parsed rules text."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class TeamRule(NamedTuple):
    """A team, its share of a full cluster and its limit of running tasks.

    Attributes:
        name: Name of the team.
        share: Relative weight of the team in a full cluster.
        limit: Maximum number of running tasks.
        line: Number of the line in the rules text.
        asked_by: Comment of the line, which names who asked for the rule.
        workspace: Workspace of the team; empty if none.
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
        service: Service that runs the work of the queue.
        keyed: Whether submitting requires a key; if not, work runs for `team`.
        team: Team of an open queue; empty for keyed queues.
        deadline_s: Default deadline of its work in seconds, or None.
        priority: A higher value goes first among equally served teams.
        line: Number of the line in the rules text.
        asked_by: Comment of the line, which names who asked for the rule.
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
    """Limits of retries.

    Attributes:
        attempts: Maximum number of attempts of one task.
        budget_percent: Maximum percentage of retries among a team's tasks.
    """

    attempts: int = 3
    budget_percent: int = 10


class QuarantineRule(NamedTuple):
    """When a failing worker is quarantined and how often it is probed.

    Attributes:
        after: Number of failed jobs after which a worker is quarantined.
        probe_s: Seconds between probes of a quarantined worker.
    """

    after: int = 5
    probe_s: int = 30


class Rules(NamedTuple):
    """All rules of one version.

    Attributes:
        teams: Team rules by name.
        queues: Queue rules by name.
        prefer_zones: Zones in order of preference.
        text: The text from which the rules were parsed.
    """

    teams: Mapping[str, TeamRule]
    queues: Mapping[str, QueueRule]
    retry: RetryRule = RetryRule()
    quarantine: QuarantineRule = QuarantineRule()
    prefer_zones: tuple[str, ...] = ()
    text: str = ""
