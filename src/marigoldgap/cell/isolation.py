"""Decides which tasks run alone on a worker, and which workers they get.

A task under which several workers have crashed runs alone: other tasks on its
worker would be lost with it and would be suspected as well. If no worker is empty
soon, it shares one: after many crashes most tasks are suspected, and there are
fewer workers than tasks that would run alone.
"""

from __future__ import annotations

from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import run_times
from marigoldgap.cell import step_progress
from marigoldgap.cell import worker_capacity

# Workers after which a task runs alone, if they have crashed or probably have.
_ISOLATED_CRASHES = 2
# Time for which a task waits for a worker of its own, in seconds.
_MAX_WAIT_S = 2.0
# Maximum share of a service's workers that run isolated tasks or wait for one.
_MAX_WORKER_SHARE = 0.5


def is_isolated(step: step_progress.StepProgress, position: int) -> bool:
    """Returns whether a task runs alone; members of gangs never do."""
    return (
        not step.spec.is_gang
        and position not in step.sharing
        and step.loss_count(position) >= _ISOLATED_CRASHES
    )


def end_long_waits(step: step_progress.StepProgress, now: float) -> None:
    """Lets tasks share a worker that have waited too long to run alone.

    Args:
        step: A step that may start.
        now: Current monotonic time in seconds.
    """
    for position in waiting_positions(step):
        since_s = step.isolated_since_s.setdefault(position, now)
        if now - since_s >= _MAX_WAIT_S:
            step.sharing.add(position)


def waiting_positions(step: step_progress.StepProgress) -> list[int]:
    """Returns the positions of the waiting tasks that run alone."""
    return [
        position
        for position in step.suspected_positions
        if position in step.waiting and is_isolated(step, position)
    ]


def has_isolated_run(worker: fleet.Worker) -> bool:
    """Returns whether a worker has a run of a task that runs alone."""
    return any(
        is_isolated(run.step, run.name.task.position)
        for run in worker.runs.values()
    )


class WorkerBudget:
    """Limits the workers of each service that are kept for isolated tasks.

    Args:
        workers: All workers of the cell.
    """

    def __init__(self, workers: list[fleet.Worker]) -> None:
        self._counts: dict[str, int] = {}
        self._kept: dict[str, int] = {}
        for worker in workers:
            service = worker.registration.service
            self._counts[service] = self._counts.get(service, 0) + 1
            if has_isolated_run(worker):
                self.keep(service)

    def is_exhausted(self, service: str) -> bool:
        """Returns whether no further worker of a service may be kept."""
        count = self._counts.get(service, 0)
        limit = max(1, int(count * _MAX_WORKER_SHARE))
        return self._kept.get(service, 0) >= limit

    def keep(self, service: str) -> None:
        """Counts a worker that is kept for an isolated task."""
        self._kept[service] = self._kept.get(service, 0) + 1


def choose_worker(
    step: step_progress.StepProgress,
    position: int,
    capacities: list[worker_capacity.WorkerCapacity],
    now: float,
    times: run_times.RunTimes,
) -> worker_capacity.WorkerCapacity | None:
    """Returns the worker that is expected to be without runs first.

    Prefers workers on which the task has not failed, then those in the rack of
    the data. If every worker has a run that does not end, the task shares the
    one with the fewest runs on which it fits.

    Args:
        step: Step of the isolated task.
        position: Position of the task.
        capacities: Workers that the task may use.
        now: Current monotonic time in seconds.
        times: Learned run times.

    Returns:
        The worker, or None if the task fits on none. The task may start on it
        if `can_start` holds; before that, nothing else may.
    """
    spec = step.spec
    avoid = step.avoid.get(position, set())
    emptied = [
        (
            capacity.worker.worker_id in avoid,
            empty_at_s,
            _is_far(capacity, spec),
            number,
        )
        for number, capacity in enumerate(capacities)
        if capacity.fits_alone(spec)
        and (empty_at_s := _empty_at_s(capacity, now, times)) < float("inf")
    ]
    if emptied:
        return capacities[min(emptied)[-1]]
    shared = [capacity for capacity in capacities if capacity.fits(spec, now)]
    return min(
        shared, key=lambda capacity: len(capacity.worker.runs), default=None
    )


def can_start(
    capacity: worker_capacity.WorkerCapacity, spec: model.StepSpec, now: float
) -> bool:
    """Returns whether an isolated task may start on its chosen worker now."""
    runs = capacity.worker.runs.values()
    return capacity.fits(spec, now) and (
        not runs or any(run.step.spec.is_long_running for run in runs)
    )


def _empty_at_s(
    capacity: worker_capacity.WorkerCapacity,
    now: float,
    times: run_times.RunTimes,
) -> float:
    """Returns when a worker is expected to be empty; infinite for never."""
    ends = capacity.expected_ends(now, times)
    if len(ends) < len(capacity.worker.runs):
        return float("inf")
    return max((ends_s for ends_s, _ in ends), default=now)


def _is_far(
    capacity: worker_capacity.WorkerCapacity, spec: model.StepSpec
) -> bool:
    return bool(spec.data_rack) and (
        capacity.worker.registration.rack != spec.data_rack
    )
