"""Waiting tasks of one team, in subqueues of equal requirements."""

from __future__ import annotations

import bisect
import heapq
import math
from typing import NamedTuple

from marigoldgap.scheduling import model
from marigoldgap.scheduling import waiting_needs
from marigoldgap.scheduling.policies import registry

# (not urgent, negated priority, latest start, arrival); the lowest goes first.
Order = tuple[bool, int, float, int]
_COMPACT_ABOVE = 16


class _Entry(NamedTuple):
    """A waiting task and its order within the team."""

    order: Order
    task: model.TaskSpec


class _Lane:
    """Tasks with equal requirements; removal from the heap is lazy."""

    __slots__ = ("heap", "key", "live")

    def __init__(self, key: waiting_needs.Needs) -> None:
        self.key = key
        self.heap: list[tuple[Order, str]] = []
        self.live = 0


def _order(task: model.TaskSpec, arrival: int) -> Order:
    latest = registry.policy_of(task.kind).latest_start_ms(task)
    due = math.inf if latest is None else latest
    return not task.urgent, -task.priority, due, arrival


class TeamLanes:
    """Ordered queue of one team.

    The subqueues are sorted by the order of their first tasks. There is one
    subqueue for each distinct set of requirements among the waiting tasks.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._lanes: dict[waiting_needs.Needs, _Lane] = {}
        self._sorted: list[tuple[Order, waiting_needs.Needs]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def order(self, position: int) -> Order | None:
        """Returns the order of the first task of a subqueue, or None.

        Args:
            position: Position of the subqueue in the sorted list.
        """
        if position >= len(self._sorted):
            return None
        return self._sorted[position][0]

    def head(self, position: int) -> model.TaskSpec:
        """Returns the first task of the subqueue at a position."""
        lane = self._lanes[self._sorted[position][1]]
        return self._entries[lane.heap[0][1]].task

    def task(self, task_id: str) -> model.TaskSpec:
        """Returns a waiting task."""
        return self._entries[task_id].task

    def find(self, task_id: str, arrival: int) -> model.TaskSpec | None:
        """Returns the waiting task, or None if its arrival number differs."""
        entry = self._entries.get(task_id)
        if entry is None or entry.order[3] != arrival:
            return None
        return entry.task

    def push(self, task: model.TaskSpec, arrival: int) -> bool:
        """Adds a task; returns whether it is now the team's first task."""
        order = _order(task, arrival)
        self._entries[task.task_id] = _Entry(order, task)
        key = waiting_needs.needs_of(task)
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = _Lane(key)
        lane.live += 1
        before = lane.heap[0][0] if lane.heap else None
        heapq.heappush(lane.heap, (order, task.task_id))
        if before is None or order < before:
            self._resort(lane, before)
        return self._sorted[0][0] == order

    def remove(self, task_id: str) -> bool:
        """Removes a task; returns whether it was the team's first task."""
        entry = self._entries.pop(task_id)
        task = entry.task
        lane = self._lanes[waiting_needs.needs_of(task)]
        lane.live -= 1
        was_first = self._sorted[0][0] == entry.order
        if lane.heap[0][1] == task_id:
            self._drop_removed(lane)
            self._resort(lane, entry.order)
        elif len(lane.heap) > 2 * lane.live + _COMPACT_ABOVE:
            lane.heap = [item for item in lane.heap if self._waits(item)]
            heapq.heapify(lane.heap)
        return was_first

    def _waits(self, item: tuple[Order, str]) -> bool:
        entry = self._entries.get(item[1])
        return entry is not None and entry.order == item[0]

    def _drop_removed(self, lane: _Lane) -> None:
        while lane.heap and not self._waits(lane.heap[0]):
            heapq.heappop(lane.heap)

    def _resort(self, lane: _Lane, before: Order | None) -> None:
        """Sorts a subqueue again after its first task has changed."""
        if before is not None:
            index = bisect.bisect_left(self._sorted, (before, lane.key))
            del self._sorted[index]
        if not lane.heap:
            del self._lanes[lane.key]
            return
        bisect.insort(self._sorted, (lane.heap[0][0], lane.key))
