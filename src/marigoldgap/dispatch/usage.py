"""Usage of the teams, which orders waiting requests."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from marigoldgap.scheduling import fair_queue


class TeamUsage:
    """Usage as the coordinators report it, or as counted here without them.

    Args:
        queue: Is told shares and usage.
        running: Returns the tasks of a team that are counted here.
    """

    def __init__(
        self, queue: fair_queue.FairQueue, running: Callable[[str], int]
    ) -> None:
        self._queue = queue
        self._running = running
        self._reported: Mapping[str, float] = {}

    def of(self, team: str) -> float:
        """Returns the usage of a team; comparable among teams only."""
        if self._reported:
            return self._reported.get(team, 0.0)
        return float(self._running(team))

    def report(self, usage: Mapping[str, float]) -> None:
        """Sets the dominant usage of every team, summed over the zones."""
        self._reported = dict(usage)
        for team, fraction in usage.items():
            self._queue.set_usage(team, fraction)

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Sets the shares of the rules in force."""
        for team, share in shares.items():
            self._queue.set_share(team, share)
