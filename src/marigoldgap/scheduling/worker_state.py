"""Running tasks and free resources of one worker."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources


class PlacedTask(NamedTuple):
    """A running task and whether it counts for the spread over racks."""

    task: model.RunningTask
    spread: bool


class WorkerState:
    """Tasks and free resources of one worker.

    Args:
        info: The worker as described by the platform.

    Attributes:
        free: Capacity less the sizes of the tasks; negative if overcommitted.
        accepting: False while the worker is in quarantine.
        leaving: Set permanently when the backend server is decommissioned.
        indexed: Whether the index offers the worker for new tasks.
    """

    __slots__ = ("accepting", "free", "indexed", "info", "leaving", "tasks")

    def __init__(self, info: model.WorkerInfo) -> None:
        self.info = info
        self.free = info.capacity
        self.tasks: dict[str, PlacedTask] = {}
        self.accepting = True
        self.leaving = info.leaving
        self.indexed = False

    @property
    def usable(self) -> bool:
        """Whether the worker may get new tasks."""
        return self.accepting and not self.leaving

    def running(self) -> Sequence[model.RunningTask]:
        """Returns the tasks on the worker."""
        return tuple(placed.task for placed in self.tasks.values())

    def add_task(self, task: model.RunningTask, spread: bool) -> None:
        """Adds a task; the worker must not have a task with its id."""
        self.tasks[task.task_id] = PlacedTask(task, spread)
        self.free = resources.subtract(self.free, task.resources)

    def remove_task(self, task_id: str) -> PlacedTask:
        """Removes a task of the worker and returns it."""
        placed = self.tasks.pop(task_id)
        self.free = resources.add(self.free, placed.task.resources)
        return placed
