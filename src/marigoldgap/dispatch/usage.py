"""Usage of the teams, which determines the order of waiting requests."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from marigoldgap.scheduling import fair_queue


class TeamUsage:
    """Usage that the coordinators report, or else a local count of tasks.

    Args:
        queue: Queue that is ordered by shares and usage.
        running: Returns the number of running tasks of a team on this
            instance.
    """

    def __init__(
        self, queue: fair_queue.FairQueue, running: Callable[[str], int]
    ) -> None:
        self._queue = queue
        self._count_running = running
        self._reported: Mapping[str, float] = {}

    def usage_of(self, team: str) -> float:
        """Returns the usage of a team, comparable only with other teams."""
        if self._reported:
            return self._reported.get(team, 0.0)
        return float(self._count_running(team))

    def report(self, usage: Mapping[str, float]) -> None:
        """Sets the reported usage.

        Args:
            usage: Dominant usage of every team, summed over the zones.
        """
        self._reported = dict(usage)
        for team, fraction in usage.items():
            self._queue.set_usage(team, fraction)

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Sets the shares of the teams from the rules in force."""
        for team, share in shares.items():
            self._queue.set_share(team, share)
