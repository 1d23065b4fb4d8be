"""Baseline placement policies for comparisons."""

from __future__ import annotations

from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources


class FirstFit:
    """Chooses the first worker with room, in the order of addition.

    Attributes:
        examined: Total number of workers examined.
    """

    def __init__(self) -> None:
        self._names: list[str] = []
        self._position: dict[str, int] = {}
        self._free: dict[str, model.Resources] = {}
        self._tasks: dict[str, dict[str, model.Resources]] = {}
        self.examined = 0

    def add(self, worker: model.WorkerInfo) -> None:
        """Adds an empty worker."""
        self._position[worker.worker_id] = len(self._names)
        self._names.append(worker.worker_id)
        self._free[worker.worker_id] = worker.capacity
        self._tasks[worker.worker_id] = {}

    def choose(self, task: model.TaskSpec) -> str | None:
        """Returns the first worker with room, or None."""
        return self._search(task, 0)

    def claim(self, worker_id: str, task: model.TaskSpec) -> None:
        """Reserves the capacity of a task on a worker."""
        free = resources.subtract(self._free[worker_id], task.resources)
        self._free[worker_id] = free
        self._tasks[worker_id][task.task_id] = task.resources

    def release(self, worker_id: str, task_id: str) -> None:
        """Returns the capacity of a task to its worker."""
        size = self._tasks[worker_id].pop(task_id)
        self._free[worker_id] = resources.add(self._free[worker_id], size)

    def _search(self, task: model.TaskSpec, start: int) -> str | None:
        count = len(self._names)
        for step in range(count):
            worker_id = self._names[(start + step) % count]
            self.examined += 1
            if resources.fits_in(task.resources, self._free[worker_id]):
                return worker_id
        return None


class RoundRobin(FirstFit):
    """Chooses the next worker with room after the last chosen one."""

    def __init__(self) -> None:
        super().__init__()
        self._next = 0

    def choose(self, task: model.TaskSpec) -> str | None:
        """Returns the next worker with room, or None."""
        worker_id = self._search(task, self._next)
        if worker_id is not None:
            self._next = self._position[worker_id] + 1
        return worker_id
