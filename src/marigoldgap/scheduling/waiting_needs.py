"""Which different needs the waiting tasks have, and which find room now."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable

from marigoldgap.scheduling import model

# Kind, service, resources: tasks that can run on the same workers.
Needs = tuple[str, str, model.Resources]


def needs_of(task: model.TaskSpec) -> Needs:
    """Returns what decides on which workers a task can run."""
    return task.kind, task.service, task.resources


# With up to this many different needs, all are asked for before the search.
_FEW_NEEDS = 16


class WaitingNeeds:
    """Counts the waiting tasks with each need."""

    def __init__(self) -> None:
        self._counts: Counter[Needs] = Counter()
        self._examples: dict[Needs, model.TaskSpec] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, task: model.TaskSpec) -> None:
        """Counts a task that waits."""
        needs = needs_of(task)
        self._counts[needs] += 1
        self._examples[needs] = task

    def remove(self, task: model.TaskSpec) -> None:
        """Counts a task that waits no more."""
        needs = needs_of(task)
        self._counts[needs] -= 1
        if not self._counts[needs]:
            del self._counts[needs]
            del self._examples[needs]

    def examples(self) -> Iterable[model.TaskSpec]:
        """Returns a task for each need; it may not be waiting any more."""
        return self._examples.values()


class RoomSearch:
    """Answers of `has_room` during one search, one for each need.

    Args:
        waiting: The needs of all waiting tasks.
        has_room: Tells whether some worker has room for a task, or None if
            every task is to be tried.
    """

    def __init__(
        self,
        waiting: WaitingNeeds,
        has_room: Callable[[model.TaskSpec], bool] | None,
    ) -> None:
        self._waiting = waiting
        self._has_room = has_room
        self._answers: dict[Needs, bool] = {}
        self._refused = 0
        if has_room is not None and len(waiting) <= _FEW_NEEDS:
            for task in waiting.examples():
                self.has_room(task)

    @property
    def hopeless(self) -> bool:
        """Whether no waiting task has room."""
        return self._has_room is not None and self._refused >= len(
            self._waiting
        )

    def has_room(self, task: model.TaskSpec) -> bool:
        """Returns whether there is room for the task."""
        if self._has_room is None:
            return True
        needs = needs_of(task)
        answer = self._answers.get(needs)
        if answer is None:
            answer = self._answers[needs] = self._has_room(task)
            self._refused += not answer
        return answer
