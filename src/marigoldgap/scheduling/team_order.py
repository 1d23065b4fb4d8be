"""Heap of teams with waiting tasks, the most deserving first."""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from marigoldgap.scheduling import team_lanes

_DEFAULT_SHARE = 1.0
# Stale heap entries are dropped once they outnumber the live ones.
_COMPACT_ABOVE = 64


class Candidate(NamedTuple):
    """Next task of a team; compares by fairness and then by urgency.

    Attributes:
        usage: Dominant usage divided by the share.
        version: Makes the entry stale once the team's state has changed.
        position: Which lane of the team the task is in.
    """

    usage: float
    order: team_lanes.Order
    team: str
    version: int
    position: int = 0


class Team:
    """Waiting tasks, usage and share of one team."""

    __slots__ = ("blocked", "lanes", "share", "usage", "version")

    def __init__(self) -> None:
        self.lanes = team_lanes.TeamLanes()
        self.usage = 0.0
        self.share = _DEFAULT_SHARE
        self.version = 0
        self.blocked = False

    @property
    def normalized(self) -> float:
        """Usage divided by the share; infinite without a share."""
        return self.usage / self.share if self.share > 0 else math.inf


class TeamOrder:
    """Teams by usage per share; changes cost the logarithm of their number."""

    def __init__(self) -> None:
        self._teams: dict[str, Team] = {}
        self._ready: list[Candidate] = []

    def team(self, name: str) -> Team:
        """Returns the state of a team."""
        state = self._teams.get(name)
        if state is None:
            state = self._teams[name] = Team()
        return state

    def announce(self, name: str) -> None:
        """Takes over a change of the team's state."""
        state = self._teams[name]
        state.version += 1
        order = state.lanes.order(0)
        if order is not None and not state.blocked:
            entry = Candidate(state.normalized, order, name, state.version)
            heapq.heappush(self._ready, entry)
        if len(self._ready) > 2 * len(self._teams) + _COMPACT_ABOVE:
            self._ready = [entry for entry in self._ready if self._live(entry)]
            heapq.heapify(self._ready)

    def search(self) -> Search:
        """Starts to go through the candidates in order."""
        return Search(self)

    def take(self, better_than: Candidate | None) -> Candidate | None:
        """Takes the first entry off the heap if it comes before another."""
        while self._ready and not self._live(self._ready[0]):
            heapq.heappop(self._ready)
        if not self._ready:
            return None
        if better_than is not None and better_than < self._ready[0]:
            return None
        return heapq.heappop(self._ready)

    def put_back(self, entries: list[Candidate]) -> None:
        """Returns entries to the heap."""
        for entry in entries:
            heapq.heappush(self._ready, entry)

    def _live(self, candidate: Candidate) -> bool:
        return self._teams[candidate.team].version == candidate.version


class Search:
    """Goes through the first tasks of all lanes, in order.

    Args:
        order: Where the candidates come from; they are returned by `close`.
    """

    def __init__(self, order: TeamOrder) -> None:
        self._order = order
        self._taken: list[Candidate] = []
        self._further: list[Candidate] = []
        self._last: Candidate | None = None

    def next(self) -> Candidate | None:
        """Returns the next candidate, or None after the last one."""
        if self._last is not None:
            self._add_next_lane(self._last)
        first = self._further[0] if self._further else None
        candidate = self._order.take(first)
        if candidate is not None:
            self._taken.append(candidate)
        elif first is not None:
            candidate = heapq.heappop(self._further)
        self._last = candidate
        return candidate

    def close(self) -> None:
        """Ends the search; the order is as before."""
        self._order.put_back(self._taken)

    def _add_next_lane(self, candidate: Candidate) -> None:
        position = candidate.position + 1
        order = self._order.team(candidate.team).lanes.order(position)
        if order is not None:
            entry = candidate._replace(order=order, position=position)
            heapq.heappush(self._further, entry)
