"""Resource usage of teams over all zones, to order waiting jobs fairly."""

from __future__ import annotations

from collections.abc import Callable
import math

from marigoldgap.coordination import job_table
from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources


class TeamUsage:
    """Dominant-resource usage of each team in this zone and elsewhere.

    Args:
        elsewhere: Returns a team's dominant usage in the other zones, as a
            fraction of their capacity.
    """

    def __init__(self, elsewhere: Callable[[str], float]) -> None:
        self._usage_elsewhere = elsewhere
        self._used: dict[str, model.Resources] = {}
        self._capacity = model.Resources(0, 0)

    def refresh(
        self, jobs: job_table.JobTable, capacity: model.Resources
    ) -> None:
        """Recounts the active tasks of all jobs."""
        self._capacity = capacity
        self._used = {}
        for job in jobs.jobs.values():
            if job.active:
                self.add(job.spec.team, job.spec.resources, len(job.active))

    def add(self, team: str, amount: model.Resources, count: int) -> None:
        """Adds tasks that started since the last refresh."""
        before = self._used.get(team, model.Resources(0, 0))
        added = resources.scale(amount, count)
        self._used[team] = resources.add(before, added)

    def fraction(self, team: str) -> float:
        """Returns the dominant usage as a fraction of the zone's capacity."""
        used = self._used.get(team)
        if used is None:
            return 0.0
        return resources.dominant_fraction(used, self._capacity)

    def normalized(self, team: str, share: float) -> float:
        """Returns the usage over all zones divided by the team's share."""
        usage = self.fraction(team) + self._usage_elsewhere(team)
        return usage / share if share > 0 else math.inf
