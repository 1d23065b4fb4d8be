"""Waiting tasks of one team, in subqueues of equal requirements."""

from __future__ import annotations

import bisect
import heapq
import math
from typing import NamedTuple

from marigoldgap.scheduling import model
from marigoldgap.scheduling import waiting_requirements
from marigoldgap.scheduling.policies import registry

# (not urgent, negated priority, latest start, arrival); the lowest goes first.
SortKey = tuple[bool, int, float, int]
# Stale heap entries are dropped if they outnumber live ones by more than this.
_COMPACT_ABOVE = 16


class _Entry(NamedTuple):
    """A waiting task and its sort key within the team."""

    sort_key: SortKey
    task: model.TaskSpec


class _Subqueue:
    """Tasks with equal requirements; removal from the heap is lazy."""

    __slots__ = ("heap", "key", "waiting_count")

    def __init__(self, key: waiting_requirements.Requirements) -> None:
        self.key = key
        self.heap: list[tuple[SortKey, str]] = []
        self.waiting_count = 0


def _sort_key(task: model.TaskSpec, arrival: int) -> SortKey:
    latest = registry.policy_of(task.kind).latest_start_ms(task)
    due = math.inf if latest is None else latest
    return not task.urgent, -task.priority, due, arrival


class TeamQueue:
    """Ordered queue of one team.

    The subqueues are sorted by the sort keys of their first tasks. There is one
    subqueue for each distinct set of requirements among the waiting tasks.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._subqueues: dict[waiting_requirements.Requirements, _Subqueue] = {}
        self._sorted: list[
            tuple[SortKey, waiting_requirements.Requirements]
        ] = []

    def __len__(self) -> int:
        return len(self._entries)

    def head_sort_key(self, position: int) -> SortKey | None:
        """Returns the sort key of the first task of a subqueue.

        Args:
            position: Position of the subqueue in the sorted list.

        Returns:
            The sort key, or None if there is no subqueue at the position.
        """
        if position >= len(self._sorted):
            return None
        return self._sorted[position][0]

    def head(self, position: int) -> model.TaskSpec:
        """Returns the first task of the subqueue at a position."""
        subqueue = self._subqueues[self._sorted[position][1]]
        return self._entries[subqueue.heap[0][1]].task

    def task(self, task_id: str) -> model.TaskSpec:
        """Returns a waiting task."""
        return self._entries[task_id].task

    def find(self, task_id: str, arrival: int) -> model.TaskSpec | None:
        """Returns the waiting task, or None if it is gone.

        A waiting task with the same id but another arrival number is a new one
        and does not count.
        """
        entry = self._entries.get(task_id)
        if entry is None or entry.sort_key[3] != arrival:
            return None
        return entry.task

    def push(self, task: model.TaskSpec, arrival: int) -> bool:
        """Adds a task; returns whether it is now the team's first task."""
        sort_key = _sort_key(task, arrival)
        self._entries[task.task_id] = _Entry(sort_key, task)
        key = waiting_requirements.requirements_of(task)
        subqueue = self._subqueues.get(key)
        if subqueue is None:
            subqueue = self._subqueues[key] = _Subqueue(key)
        subqueue.waiting_count += 1
        before = subqueue.heap[0][0] if subqueue.heap else None
        heapq.heappush(subqueue.heap, (sort_key, task.task_id))
        if before is None or sort_key < before:
            self._reposition(subqueue, before)
        return self._sorted[0][0] == sort_key

    def remove(self, task_id: str) -> bool:
        """Removes a task; returns whether it was the team's first task."""
        entry = self._entries.pop(task_id)
        task = entry.task
        subqueue = self._subqueues[waiting_requirements.requirements_of(task)]
        subqueue.waiting_count -= 1
        was_first = self._sorted[0][0] == entry.sort_key
        if subqueue.heap[0][1] == task_id:
            self._drop_removed(subqueue)
            self._reposition(subqueue, entry.sort_key)
        elif len(subqueue.heap) > 2 * subqueue.waiting_count + _COMPACT_ABOVE:
            subqueue.heap = [
                item for item in subqueue.heap if self._is_waiting(item)
            ]
            heapq.heapify(subqueue.heap)
        return was_first

    def _is_waiting(self, item: tuple[SortKey, str]) -> bool:
        entry = self._entries.get(item[1])
        return entry is not None and entry.sort_key == item[0]

    def _drop_removed(self, subqueue: _Subqueue) -> None:
        while subqueue.heap and not self._is_waiting(subqueue.heap[0]):
            heapq.heappop(subqueue.heap)

    def _reposition(self, subqueue: _Subqueue, before: SortKey | None) -> None:
        """Updates the sorted list after a subqueue got another first task.

        Args:
            subqueue: The subqueue; dropped if it is empty.
            before: Sort key of its former first task; None for a new subqueue.
        """
        if before is not None:
            index = bisect.bisect_left(self._sorted, (before, subqueue.key))
            del self._sorted[index]
        if not subqueue.heap:
            del self._subqueues[subqueue.key]
            return
        bisect.insort(self._sorted, (subqueue.heap[0][0], subqueue.key))
