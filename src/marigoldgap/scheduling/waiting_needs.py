"""Distinct requirements of the waiting tasks and whether workers fit them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable

from marigoldgap.scheduling import model

# Kind, service, resources; tasks with equal ones can run on the same workers.
Needs = tuple[str, str, model.Resources]


def needs_of(task: model.TaskSpec) -> Needs:
    """Returns the properties that decide which workers can run a task."""
    return task.kind, task.service, task.resources


# With up to this many distinct requirements, a search checks all in advance.
_FEW_NEEDS = 16


class WaitingNeeds:
    """Counts the waiting tasks by their requirements."""

    def __init__(self) -> None:
        self._counts: Counter[Needs] = Counter()
        self._examples: dict[Needs, model.TaskSpec] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, task: model.TaskSpec) -> None:
        """Adds a waiting task to the counts."""
        needs = needs_of(task)
        self._counts[needs] += 1
        self._examples[needs] = task

    def remove(self, task: model.TaskSpec) -> None:
        """Removes a task from the counts."""
        needs = needs_of(task)
        self._counts[needs] -= 1
        if not self._counts[needs]:
            del self._counts[needs]
            del self._examples[needs]

    def examples(self) -> Iterable[model.TaskSpec]:
        """Returns one task for each requirements; it may have left the queue."""
        return self._examples.values()


class RoomSearch:
    """Results of `has_room` during one search, cached by requirements.

    Args:
        waiting: Requirements of all waiting tasks.
        has_room: Returns whether some worker has capacity for a task; None to
            treat every task as fitting.
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
        """Whether no worker has capacity for any waiting task."""
        return self._has_room is not None and self._refused >= len(
            self._waiting
        )

    def has_room(self, task: model.TaskSpec) -> bool:
        """Returns whether some worker has capacity for the task."""
        if self._has_room is None:
            return True
        needs = needs_of(task)
        answer = self._answers.get(needs)
        if answer is None:
            answer = self._answers[needs] = self._has_room(task)
            self._refused += not answer
        return answer
