"""Priority queues of waiting jobs, one per team (no I/O).

The dispatcher orders teams by usage per share; jobs of a team are ordered by
urgency, priority, deadline and arrival. Cancelled jobs are removed lazily, so
that cancelling thousands of jobs needs no scan.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import heapq
import math
from typing import NamedTuple

from marigoldgap.coordination import job_state

# Number of jobs of a team that are considered, so that jobs behind one that
# does not fit can start.
_CONSIDERED_JOBS = 32


class _Entry(NamedTuple):
    """A queued job; entries compare in dispatch order."""

    not_urgent: bool
    negative_priority: int
    deadline_ms: float
    arrival: int
    job_id: str


class JobQueue:
    """Waiting jobs by team.

    Args:
        find: Returns an open job by its id.
    """

    def __init__(self, find: Callable[[str], job_state.Job | None]) -> None:
        self._find = find
        self._teams: dict[str, list[_Entry]] = {}
        self._queued: set[str] = set()
        self._arrivals = 0

    @property
    def teams(self) -> tuple[str, ...]:
        """Teams that may have waiting jobs."""
        return tuple(self._teams)

    def push(self, job: job_state.Job) -> None:
        """Adds a job unless it is queued already."""
        if job.job_id in self._queued:
            return
        self._queued.add(job.job_id)
        self._arrivals += 1
        spec = job.spec
        entry = _Entry(
            not_urgent=not spec.urgent,
            negative_priority=-spec.priority,
            deadline_ms=math.inf
            if spec.deadline_ms is None
            else spec.deadline_ms,
            arrival=self._arrivals,
            job_id=job.job_id,
        )
        heapq.heappush(self._teams.setdefault(spec.team, []), entry)

    def waiting_tasks(self, team: str) -> int:
        """Returns the waiting tasks of the first jobs of a team."""
        return sum(len(job.waiting) for job in self.first(team))

    def first(self, team: str) -> Iterator[job_state.Job]:
        """Returns the first waiting jobs of a team in dispatch order."""
        entries = self._teams.get(team)
        while entries and not self._is_waiting(entries[0].job_id):
            self._queued.discard(heapq.heappop(entries).job_id)
        if not entries:
            self._teams.pop(team, None)
            return
        for entry in heapq.nsmallest(_CONSIDERED_JOBS, entries):
            job = self._find(entry.job_id)
            if job is not None and job.waiting:
                yield job

    def _is_waiting(self, job_id: str) -> bool:
        """Whether a job has waiting tasks."""
        job = self._find(job_id)
        return job is not None and bool(job.waiting)
