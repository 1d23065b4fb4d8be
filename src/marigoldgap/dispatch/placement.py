"""Tracks which task occupies capacity of which worker."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
import itertools

from marigoldgap import errors
from marigoldgap.dispatch import holdings as dispatch_holdings
from marigoldgap.scheduling import free_index
from marigoldgap.scheduling import model

TaskCallback = Callable[[str, str], None]


def _ignore_task(worker_id: str, task_id: str) -> None:
    """Does nothing."""


class Placement:
    """Allocates and frees capacity of a worker together with a team's unit.

    A task is *pending* while this instance awaits the worker's answer to its
    start. All other tasks are *settled*: the inventory of the worker decides
    whether they still run.

    Args:
        index: Free capacity of the owned workers.
        holdings: Units of the teams.
    """

    def __init__(
        self,
        index: free_index.FreeIndex,
        holdings: dispatch_holdings.HoldingsTable,
    ) -> None:
        self._index = index
        self._holdings = holdings
        self._pending: dict[str, model.RunningTask] = {}
        self._settled: dict[str, dict[str, model.RunningTask]] = {}
        self._worker_by_task: dict[str, str] = {}
        self._inventory_counts: Counter[str] = Counter()
        self._inventory_at_placement: dict[str, int] = {}
        self._freed_callback: Callable[[str], None] = lambda _: None
        self._placed_callback: TaskCallback = _ignore_task
        self._released_callback: TaskCallback = _ignore_task

    @property
    def index(self) -> free_index.FreeIndex:
        """Free capacity of the owned workers."""
        return self._index

    @property
    def pending(self) -> int:
        """Number of tasks whose start the worker has not answered yet."""
        return len(self._pending)

    def on_freed(self, callback: Callable[[str], None]) -> None:
        """Sets the callback that gets the team after capacity was freed."""
        self._freed_callback = callback

    def on_tasks(self, placed: TaskCallback, released: TaskCallback) -> None:
        """Sets the callbacks for tasks.

        Args:
            placed: Gets the worker and the id of each task that is placed.
            released: Gets them when the task is not counted any more.
        """
        self._placed_callback = placed
        self._released_callback = released

    def can_place(self, task: model.TaskSpec) -> bool:
        """Returns whether a unit and a worker are available for the task."""
        if not self._holdings.may_start(task.team):
            return False
        return self._index.choose(task) is not None

    def has_capacity(self, task: model.TaskSpec) -> bool:
        """Returns whether a worker has capacity, regardless of units."""
        return self._index.choose(task) is not None

    def try_place(
        self, task: model.TaskSpec, avoid: frozenset[str] = frozenset()
    ) -> str | None:
        """Allocates a unit and capacity; returns the worker, or None.

        Args:
            task: The task.
            avoid: Ids of workers that are not to be chosen.

        Raises:
            CapacityError: The task is placed already.
        """
        if self.worker_of(task.task_id) is not None:
            raise errors.CapacityError(f"{task.task_id} is placed already")
        if not self._holdings.may_start(task.team):
            return None
        worker_id = self._index.choose(task, avoid)
        if worker_id is None:
            return None
        self._index.claim(worker_id, task)
        self._holdings.start(task.team)
        self._pending[task.task_id] = model.RunningTask(
            task.task_id,
            worker_id,
            task.team,
            task.queue,
            task.resources,
            task.job_id,
            task.attempt,
        )
        self._inventory_at_placement[task.task_id] = self._inventory_counts[
            worker_id
        ]
        self._placed_callback(worker_id, task.task_id)
        return worker_id

    def check_current(self, task_id: str) -> None:
        """Checks immediately before its start that a placement is still valid.

        Other tasks may have taken the capacity if the worker reported a new
        inventory after the task was placed, e.g. during a pause of this
        process.

        Raises:
            LeaseLostError: The worker was reacquired after the task was
                placed.
        """
        task = self._pending.get(task_id)
        if task is None:
            return
        inventory_number = self._inventory_at_placement.get(task_id)
        if inventory_number != self._inventory_counts[task.worker_id]:
            raise errors.LeaseLostError("the worker was acquired anew")

    def finish(self, task_id: str) -> None:
        """Frees the capacity and the unit of a task; can be repeated."""
        self._inventory_at_placement.pop(task_id, None)
        task = self._pending.pop(task_id, None) or self._pop_settled(task_id)
        if task is None:
            return
        self._index.release(task.worker_id, task_id)
        self._holdings.finish(task.team)
        self._released_callback(task.worker_id, task_id)
        self._freed_callback(task.team)

    def settle(self, task_id: str) -> str | None:
        """Marks a pending task as settled.

        Returns:
            The worker, or None if the task is not pending or its worker is not
            owned any more. In the latter case it counts as orphaned.
        """
        self._inventory_at_placement.pop(task_id, None)
        task = self._pending.pop(task_id, None)
        if task is None:
            return None
        if task.worker_id not in self._index:
            self._holdings.mark_orphaned(task.worker_id, Counter([task.team]))
            return None
        self._settled[task.worker_id][task_id] = task
        self._worker_by_task[task_id] = task.worker_id
        return task.worker_id

    def is_pending(self, task_id: str) -> bool:
        """Returns whether the worker has not answered the start yet."""
        return task_id in self._pending

    def worker_of(self, task_id: str) -> str | None:
        """Returns the worker of a placed task, or None."""
        pending = self._pending.get(task_id)
        return (
            pending.worker_id if pending else self._worker_by_task.get(task_id)
        )

    def acquired(
        self, worker: model.WorkerInfo, inventory: Sequence[model.RunningTask]
    ) -> None:
        """Replaces the settled tasks of a worker by its inventory."""
        worker_id = worker.worker_id
        self._inventory_counts[worker_id] += 1
        reported = {
            task.task_id: task
            for task in inventory
            if task.task_id not in self._pending
        }
        pending = [
            task
            for task in self._pending.values()
            if task.worker_id == worker_id
        ]
        self._replace(worker_id, reported)
        self._index.add(worker, [*reported.values(), *pending])
        if worker.leaving:
            self._index.mark_leaving(worker_id)

    def lost(self, worker_id: str) -> None:
        """Counts the settled tasks of a lost worker as orphaned."""
        settled = self._settled.pop(worker_id, {})
        self._index.remove(worker_id)
        for task_id in settled:
            self._worker_by_task.pop(task_id, None)
        self._holdings.mark_orphaned(
            worker_id, Counter(task.team for task in settled.values())
        )

    def restarted(self, worker_id: str) -> None:
        """Frees what the settled tasks of a restarted worker used."""
        for task_id in tuple(self._settled.get(worker_id, ())):
            self.finish(task_id)

    def has_settled_requests(self, worker_id: str) -> bool:
        """Returns whether the worker runs settled requests.

        Workers report the end of job tasks only; only an inventory shows that
        such a request has ended.
        """
        settled = self._settled.get(worker_id, {})
        return any(not task.job_id for task in settled.values())

    def job_of(self, task_id: str) -> str:
        """Returns the job of a placed task, or an empty string."""
        task = self._pending.get(task_id)
        if task is None:
            worker_id = self._worker_by_task.get(task_id, "")
            task = self._settled.get(worker_id, {}).get(task_id)
        return task.job_id if task else ""

    def list_running(self, limit: int) -> list[model.RunningTask]:
        """Returns up to `limit` tasks that run on owned workers."""
        return list(itertools.islice(self._index.running(), limit))

    def _replace(
        self, worker_id: str, reported: dict[str, model.RunningTask]
    ) -> None:
        """Replaces the settled tasks of a worker and updates the holdings."""
        before = self._settled.get(worker_id)
        for task_id in before or ():
            self._worker_by_task.pop(task_id, None)
        self._settled[worker_id] = reported
        self._worker_by_task.update(dict.fromkeys(reported, worker_id))
        teams = Counter(task.team for task in reported.values())
        if before is None:
            self._holdings.reclaim(worker_id, teams)
            return
        for task in before.values():
            self._holdings.finish(task.team)
        for team in teams.elements():
            self._holdings.adopt(team)

    def _pop_settled(self, task_id: str) -> model.RunningTask | None:
        worker_id = self._worker_by_task.pop(task_id, None)
        if worker_id is None:
            return None
        return self._settled[worker_id].pop(task_id, None)
