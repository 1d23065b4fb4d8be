"""Index of the free capacity of the workers of one entry instance."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import zlib

from marigoldgap import errors
from marigoldgap.scheduling import model
from marigoldgap.scheduling import partition
from marigoldgap.scheduling import rack_spread
from marigoldgap.scheduling import resources
from marigoldgap.scheduling import worker_state
from marigoldgap.scheduling.policies import registry

# Team, queue and job; service tasks of one group are spread over racks.
_Group = tuple[str, str, str]


class FreeIndex:
    """Chooses workers and accounts for the tasks on them without full scans.

    The number of workers that a choice examines does not depend on the number
    of workers. `choose` only proposes a worker; `claim` takes the capacity.
    """

    def __init__(self) -> None:
        self._workers: dict[str, worker_state.WorkerState] = {}
        self._partitions: dict[str, partition.Partition] = {}
        self._groups: dict[_Group, rack_spread.RackSpread] = {}
        self._free: dict[str, model.Resources] = {}

    @property
    def examined(self) -> int:
        """Number of workers that searches have examined since creation."""
        return sum(part.examined for part in self._partitions.values())

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._workers

    def __len__(self) -> int:
        return len(self._workers)

    def add(
        self,
        worker: model.WorkerInfo,
        running: Sequence[model.RunningTask] = (),
    ) -> None:
        """Adds a worker with its reported tasks; replaces an existing entry.

        The tasks may exceed the capacity. The worker then gets no new tasks
        until enough of the existing ones have ended.
        """
        self.remove(worker.worker_id)
        state = worker_state.WorkerState(worker)
        self._workers[worker.worker_id] = state
        for task in {task.task_id: task for task in running}.values():
            self._add_task(state, task, spread=True)
        self._add_to_partition(state)

    def remove(self, worker_id: str) -> None:
        """Removes a worker and its tasks; does nothing if it is unknown."""
        state = self._workers.get(worker_id)
        if state is None:
            return
        self._remove_from_partition(state)
        for task_id in tuple(state.tasks):
            self._remove_task(state, task_id)
        del self._workers[worker_id]

    def set_accepting(self, worker_id: str, accepting: bool) -> None:
        """Allows or stops new tasks; has no effect on a leaving worker."""
        state = self._workers.get(worker_id)
        if state is None:
            return
        self._remove_from_partition(state)
        state.accepting = accepting
        self._add_to_partition(state)

    def mark_leaving(self, worker_id: str) -> None:
        """Stops new tasks permanently; `set_accepting` cannot allow them again.

        Quarantine and leaving are separate states, so that the end of a
        quarantine does not send tasks to a server that is being decommissioned.
        """
        state = self._workers.get(worker_id)
        if state is None:
            return
        self._remove_from_partition(state)
        state.leaving = True

    def choose(
        self, task: model.TaskSpec, avoid: frozenset[str] = frozenset()
    ) -> str | None:
        """Returns the worker that the policy of the kind chooses, or None."""
        return registry.policy_of(task.kind).choose(self, task, avoid)

    def best_fit(
        self, task: model.TaskSpec, avoid: frozenset[str]
    ) -> str | None:
        """Returns a fitting worker with the fewest free slots."""
        part = self._partitions.get(task.service)
        return part.best_fit(task.resources, avoid) if part else None

    def worst_fit(
        self, task: model.TaskSpec, avoid: frozenset[str]
    ) -> str | None:
        """Returns a fitting worker with the most free slots."""
        part = self._partitions.get(task.service)
        return part.worst_fit(task.resources, avoid) if part else None

    def spread(self, task: model.TaskSpec, avoid: frozenset[str]) -> str | None:
        """Returns a fitting worker on the rack with the fewest group tasks."""
        part = self._partitions.get(task.service)
        if part is None:
            return None
        key = _group_of(task)
        group = self._groups.get(key) or _new_group(key)
        return part.spread(task.resources, avoid, group)

    def claim(self, worker_id: str, task: model.TaskSpec) -> None:
        """Takes the capacity for the task.

        Raises:
            CapacityError: If the worker is unknown, does not accept tasks or
                is of another service, if it already has the task, or if the
                task does not fit.
        """
        state = self._workers.get(worker_id)
        if state is None or not state.usable:
            raise errors.CapacityError(f"{worker_id} accepts no new work")
        if state.info.service != task.service:
            raise errors.CapacityError(f"{worker_id} is of another service")
        if task.task_id in state.tasks:
            raise errors.CapacityError(f"{worker_id} has task {task.task_id}")
        if min(task.resources) < 0 or not resources.fits_in(
            task.resources, state.free
        ):
            raise errors.CapacityError(f"{task.task_id}: {worker_id} is full")
        running = model.RunningTask(
            task.task_id,
            worker_id,
            task.team,
            task.queue,
            task.resources,
            task.job_id,
            task.attempt,
        )
        before = state.free
        self._add_task(state, running, spread=task.kind == "service")
        self._update_partition(state, before)

    def release(self, worker_id: str, task_id: str) -> None:
        """Frees the capacity of a task; does nothing if it is unknown."""
        state = self._workers.get(worker_id)
        if state is None or task_id not in state.tasks:
            return
        before = state.free
        self._remove_task(state, task_id)
        self._update_partition(state, before)

    def resize(
        self, worker_id: str, task_id: str, size: model.Resources
    ) -> None:
        """Changes the size of a running task; does nothing if it is unknown.

        As with `add`, the sizes may exceed the capacity.
        """
        state = self._workers.get(worker_id)
        if state is None or task_id not in state.tasks:
            return
        before = state.free
        placed = self._remove_task(state, task_id)
        task = placed.task._replace(resources=size)
        self._add_task(state, task, placed.spread)
        self._update_partition(state, before)

    def running(self) -> Iterable[model.RunningTask]:
        """Yields the tasks on all workers of the index."""
        for state in self._workers.values():
            yield from state.running()

    def free_on(self, worker_id: str) -> model.Resources:
        """Returns the free resources of a worker; negative if overcommitted."""
        state = self._workers.get(worker_id)
        return state.free if state else resources.NONE

    def capacity_of(self, worker_id: str) -> model.Resources:
        """Returns the capacity of a worker; zero if it is unknown."""
        state = self._workers.get(worker_id)
        return state.info.capacity if state else resources.NONE

    def free_total(self) -> model.Resources:
        """Returns the free resources of all workers that accept tasks."""
        total = resources.NONE
        for free in self._free.values():
            total = resources.add(total, free)
        return total

    def free_by_service(self) -> Mapping[str, model.Resources]:
        """Returns the free resources of accepting workers for each service."""
        return dict(self._free)

    def _add_to_partition(self, state: worker_state.WorkerState) -> None:
        if state.indexed or not state.usable:
            return
        service = state.info.service
        part = self._partitions.get(service)
        if part is None:
            part = partition.Partition(self.free_on)
            self._partitions[service] = part
        part.add(state.info, state.free)
        self._free[service] = resources.add(
            self._free.get(service, resources.NONE),
            resources.clamp(state.free),
        )
        state.indexed = True

    def _remove_from_partition(self, state: worker_state.WorkerState) -> None:
        if not state.indexed:
            return
        service = state.info.service
        self._partitions[service].discard(state.info)
        self._free[service] = resources.subtract(
            self._free[service], resources.clamp(state.free)
        )
        state.indexed = False

    def _update_partition(
        self, state: worker_state.WorkerState, before: model.Resources
    ) -> None:
        """Updates the index after the free resources of a worker changed."""
        if not state.indexed:
            return
        service = state.info.service
        part = self._partitions[service]
        part.discard(state.info)
        part.add(state.info, state.free)
        change = resources.subtract(
            resources.clamp(state.free), resources.clamp(before)
        )
        self._free[service] = resources.add(self._free[service], change)

    def _add_task(
        self,
        state: worker_state.WorkerState,
        task: model.RunningTask,
        spread: bool,
    ) -> None:
        state.add_task(task, spread)
        if not spread:
            return
        key = _group_of(task)
        if key not in self._groups:
            self._groups[key] = _new_group(key)
        self._groups[key].adjust(state.info.rack, 1)

    def _remove_task(
        self, state: worker_state.WorkerState, task_id: str
    ) -> worker_state.PlacedTask:
        placed = state.remove_task(task_id)
        if placed.spread:
            key = _group_of(placed.task)
            self._groups[key].adjust(state.info.rack, -1)
            if self._groups[key].empty:
                del self._groups[key]
        return placed


def _group_of(task: model.TaskSpec | model.RunningTask) -> _Group:
    return task.team, task.queue, task.job_id


def _new_group(key: _Group) -> rack_spread.RackSpread:
    return rack_spread.RackSpread(zlib.crc32("/".join(key).encode()))
