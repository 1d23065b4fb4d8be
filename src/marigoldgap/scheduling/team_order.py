"""Heap of teams with waiting tasks, ordered by usage per share."""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from marigoldgap.scheduling import team_queue

_DEFAULT_SHARE = 1.0
# Stale heap entries are dropped if they outnumber live ones by more than this.
_COMPACT_ABOVE = 64


class Candidate(NamedTuple):
    """First task of a subqueue; compares by usage per share, then by task.

    Attributes:
        usage_per_share: Dominant usage of the team divided by its share.
        sort_key: Sort key of the task within the team.
        version: Version of the team's state; the entry is stale once the state
            has changed.
        position: Position of the subqueue within the team.
    """

    usage_per_share: float
    sort_key: team_queue.SortKey
    team: str
    version: int
    position: int = 0


class Team:
    """Waiting tasks, usage and share of one team."""

    __slots__ = ("blocked", "queue", "share", "usage", "version")

    def __init__(self) -> None:
        self.queue = team_queue.TeamQueue()
        self.usage = 0.0
        self.share = _DEFAULT_SHARE
        self.version = 0
        self.blocked = False

    @property
    def usage_per_share(self) -> float:
        """Usage divided by the share; infinite if the share is zero."""
        return self.usage / self.share if self.share > 0 else math.inf


class TeamOrder:
    """Teams by usage per share; an update is logarithmic in their number."""

    def __init__(self) -> None:
        self._teams: dict[str, Team] = {}
        self._heap: list[Candidate] = []

    def team(self, name: str) -> Team:
        """Returns the state of a team; creates it if needed."""
        state = self._teams.get(name)
        if state is None:
            state = self._teams[name] = Team()
        return state

    def update(self, name: str) -> None:
        """Updates a team's heap entry after a change of state or first task."""
        state = self._teams[name]
        state.version += 1
        sort_key = state.queue.head_sort_key(0)
        if sort_key is not None and not state.blocked:
            entry = Candidate(
                state.usage_per_share, sort_key, name, state.version
            )
            heapq.heappush(self._heap, entry)
        if len(self._heap) > 2 * len(self._teams) + _COMPACT_ABOVE:
            self._heap = [
                entry for entry in self._heap if self._is_current(entry)
            ]
            heapq.heapify(self._heap)

    def search(self) -> CandidateSearch:
        """Returns a new search over the candidates."""
        return CandidateSearch(self)

    def pop_first(self, competitor: Candidate | None) -> Candidate | None:
        """Pops the first entry unless `competitor` comes before it."""
        while self._heap and not self._is_current(self._heap[0]):
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        if competitor is not None and competitor < self._heap[0]:
            return None
        return heapq.heappop(self._heap)

    def restore(self, entries: list[Candidate]) -> None:
        """Pushes popped entries onto the heap again."""
        for entry in entries:
            heapq.heappush(self._heap, entry)

    def _is_current(self, candidate: Candidate) -> bool:
        return self._teams[candidate.team].version == candidate.version


class CandidateSearch:
    """Iterates over the first tasks of all subqueues in order.

    Args:
        order: Source of the candidates; `close` puts them back.
    """

    def __init__(self, order: TeamOrder) -> None:
        self._order = order
        self._taken: list[Candidate] = []
        self._next_subqueues: list[Candidate] = []
        self._last: Candidate | None = None

    def next(self) -> Candidate | None:
        """Returns the next candidate, or None after the last one."""
        if self._last is not None:
            self._add_next_subqueue(self._last)
        first = self._next_subqueues[0] if self._next_subqueues else None
        candidate = self._order.pop_first(first)
        if candidate is not None:
            self._taken.append(candidate)
        elif first is not None:
            candidate = heapq.heappop(self._next_subqueues)
        self._last = candidate
        return candidate

    def close(self) -> None:
        """Ends the search and restores the order."""
        self._order.restore(self._taken)

    def _add_next_subqueue(self, candidate: Candidate) -> None:
        position = candidate.position + 1
        sort_key = self._order.team(candidate.team).queue.head_sort_key(
            position
        )
        if sort_key is not None:
            entry = candidate._replace(sort_key=sort_key, position=position)
            heapq.heappush(self._next_subqueues, entry)
