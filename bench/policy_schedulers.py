"""Schedulers that are compared under the same load."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Protocol
from typing import TypeVar

from bench import policy_load
from benchmarks import naive_placement
from marigoldgap.scheduling import fair_queue
from marigoldgap.scheduling import free_index
from marigoldgap.scheduling import large_task_hold
from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources

# Twice the longest mean run time of a batch task in the loads.
_HOLD_MS = 50_000


class Scheduler(Protocol):
    """Decides which waiting task starts next, and on which worker."""

    def submit(self, task: model.TaskSpec, now_ms: int) -> None:
        """Adds a waiting task."""

    def start_next(self, now_ms: int) -> tuple[model.TaskSpec, str] | None:
        """Starts a waiting task and returns it with its worker, or None."""

    def finish(self, task: model.TaskSpec, worker_id: str) -> None:
        """Gives the capacity of a task back."""


_Factory = Callable[[policy_load.Layout], Scheduler]
_Registered = TypeVar("_Registered", bound=_Factory)
SCHEDULERS: dict[str, _Factory] = {}


def scheduler(name: str) -> Callable[[_Registered], _Registered]:
    """Registers the decorated class for the comparison."""

    def register(factory: _Registered) -> _Registered:
        SCHEDULERS[name] = factory
        return factory

    return register


class _InOrder:
    """First-in, first-out scheduler with head-of-line blocking."""

    def __init__(
        self, layout: policy_load.Layout, placement: naive_placement.FirstFit
    ) -> None:
        self._placement = placement
        self._waiting: collections.deque[model.TaskSpec] = collections.deque()
        for worker in layout.workers():
            placement.add(worker)

    def submit(self, task: model.TaskSpec, now_ms: int) -> None:
        """Appends a task to the queue."""
        del now_ms
        self._waiting.append(task)

    def start_next(self, now_ms: int) -> tuple[model.TaskSpec, str] | None:
        """Starts the oldest task if any worker has room for it."""
        del now_ms
        if not self._waiting:
            return None
        worker_id = self._placement.choose(self._waiting[0])
        if worker_id is None:
            return None
        task = self._waiting.popleft()
        self._placement.claim(worker_id, task)
        return task, worker_id

    def finish(self, task: model.TaskSpec, worker_id: str) -> None:
        """Gives the capacity of a task back."""
        self._placement.release(worker_id, task.task_id)


@scheduler("round robin")
class RoundRobinScheduler(_InOrder):
    """Order of arrival, on the next worker with room."""

    def __init__(self, layout: policy_load.Layout) -> None:
        super().__init__(layout, naive_placement.RoundRobin())


@scheduler("first fit")
class FirstFitScheduler(_InOrder):
    """Order of arrival, on the first worker with room."""

    def __init__(self, layout: policy_load.Layout) -> None:
        super().__init__(layout, naive_placement.FirstFit())


@scheduler("marigoldgap")
class FairScheduler:
    """The fair queue and the placement policies of marigoldgap.

    Requests and jobs wait in separate queues, as they do at entry instances and
    at the coordinator, and requests start before jobs. In a shared queue, a
    short request of a team above its share would wait for long jobs of others.
    """

    def __init__(self, layout: policy_load.Layout) -> None:
        self._requests = fair_queue.FairQueue()
        self._jobs = fair_queue.FairQueue()
        self._index = free_index.FreeIndex()
        self._hold = large_task_hold.LargeTaskHold(self._index, _HOLD_MS)
        self._used: dict[str, model.Resources] = {}
        self._total = resources.NONE
        for team in layout.teams:
            self._requests.set_share(team.name, team.share)
            self._jobs.set_share(team.name, team.share)
            self._used[team.name] = resources.NONE
        for worker in layout.workers():
            self._index.add(worker)
            self._total = resources.add(self._total, worker.capacity)

    def submit(self, task: model.TaskSpec, now_ms: int) -> None:
        """Adds a task to the fair queue of requests or of jobs."""
        queue = self._requests if task.kind == "quick" else self._jobs
        queue.push(task, now_ms)

    def start_next(self, now_ms: int) -> tuple[model.TaskSpec, str] | None:
        """Starts the first task in fair order that a worker has room for."""
        chosen: list[str] = []

        def may_run(task: model.TaskSpec) -> bool:
            worker_id = self._hold.choose(task, now_ms)
            if worker_id is not None:
                chosen.append(worker_id)
            return worker_id is not None

        task = self._requests.pop(may_run) or self._jobs.pop(may_run)
        if task is None:
            return None
        self._index.claim(chosen[0], task)
        self._hold.release(task)
        self._change_usage(task.team, task.resources)
        return task, chosen[0]

    def finish(self, task: model.TaskSpec, worker_id: str) -> None:
        """Gives the capacity of a task back."""
        self._index.release(worker_id, task.task_id)
        self._change_usage(task.team, resources.scale(task.resources, -1))

    def _change_usage(self, team: str, change: model.Resources) -> None:
        self._used[team] = resources.add(self._used[team], change)
        usage = resources.dominant_fraction(self._used[team], self._total)
        self._requests.set_usage(team, usage)
        self._jobs.set_usage(team, usage)
