"""Requirements of the waiting tasks and whether workers can meet them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable

from marigoldgap.scheduling import model

# Kind, service and resources; equal requirements allow the same workers.
Requirements = tuple[str, str, model.Resources]


def requirements_of(task: model.TaskSpec) -> Requirements:
    """Returns the properties that decide which workers can run a task."""
    return task.kind, task.service, task.resources


# With up to this many distinct requirements, a search checks all in advance.
_MAX_CHECKED_IN_ADVANCE = 16


class WaitingRequirements:
    """Counts the waiting tasks by their requirements."""

    def __init__(self) -> None:
        self._counts: Counter[Requirements] = Counter()
        self._examples: dict[Requirements, model.TaskSpec] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, task: model.TaskSpec) -> None:
        """Adds a waiting task to the counts."""
        requirements = requirements_of(task)
        self._counts[requirements] += 1
        self._examples[requirements] = task

    def remove(self, task: model.TaskSpec) -> None:
        """Removes a task from the counts."""
        requirements = requirements_of(task)
        self._counts[requirements] -= 1
        if not self._counts[requirements]:
            del self._counts[requirements]
            del self._examples[requirements]

    def examples(self) -> Iterable[model.TaskSpec]:
        """Returns one task per set of requirements; it may no longer wait."""
        return self._examples.values()


class CapacityCheck:
    """Results of `has_capacity` during one search, cached by requirements.

    Args:
        waiting: Requirements of all waiting tasks.
        has_capacity: Returns whether some worker has capacity for a task; None
            to treat every task as fitting.
    """

    def __init__(
        self,
        waiting: WaitingRequirements,
        has_capacity: Callable[[model.TaskSpec], bool] | None,
    ) -> None:
        self._waiting = waiting
        self._has_capacity = has_capacity
        self._results: dict[Requirements, bool] = {}
        self._unfit_count = 0
        if has_capacity is not None and len(waiting) <= _MAX_CHECKED_IN_ADVANCE:
            for task in waiting.examples():
                self.has_capacity(task)

    @property
    def nothing_fits(self) -> bool:
        """Whether no worker has capacity for any waiting task."""
        return self._has_capacity is not None and self._unfit_count >= len(
            self._waiting
        )

    def has_capacity(self, task: model.TaskSpec) -> bool:
        """Returns whether some worker has capacity for the task."""
        if self._has_capacity is None:
            return True
        requirements = requirements_of(task)
        result = self._results.get(requirements)
        if result is None:
            result = self._results[requirements] = self._has_capacity(task)
            self._unfit_count += not result
        return result
