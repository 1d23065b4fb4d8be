"""Decides which tasks run alone on a worker, and which workers they get.

A task under which several workers have crashed runs alone: other tasks on its
worker would be lost with it and would be suspected as well. If no worker is empty
soon, it shares one: after many crashes most tasks are suspected, and there are
fewer workers than tasks that would run alone.
"""

from __future__ import annotations

import collections

from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import run_times
from marigoldgap.cell import runs
from marigoldgap.cell import step_progress
from marigoldgap.cell import worker_capacity

# Workers after which a task runs alone, if they have crashed or probably have.
_ISOLATED_CRASHES = 2
# Longest time for which a task waits for a worker of its own, in seconds.
_MAX_WAIT_S = 2.0
# A worker that is expected to be empty later than this is not kept for a task.
_MAX_EMPTYING_S = 6.0
# Maximum share of the workers with the same service and label that run isolated
# tasks or wait for one.
_MAX_WORKER_SHARE = 0.5
# Time for which a long-running task runs alone, since it has no end. Users
# count one that has not been started again for 6 s as missing.
_LONG_RUNNING_ALONE_S = 3.0


def is_isolated(step: step_progress.StepProgress, position: int) -> bool:
    """Returns whether a task runs alone; members of gangs never do."""
    return (
        not step.spec.is_gang
        and position not in step.sharing
        and step.loss_count(position) >= _ISOLATED_CRASHES
    )


def waiting_positions(step: step_progress.StepProgress) -> list[int]:
    """Returns the positions of the waiting tasks that run alone."""
    return [
        position
        for position in step.suspected_positions
        if position in step.waiting and is_isolated(step, position)
    ]


def overdue_positions(step: step_progress.StepProgress, now: float) -> set[int]:
    """Returns the waiting tasks that have waited too long to run alone.

    Args:
        step: A step that may start.
        now: Current monotonic time in seconds.
    """
    return {
        position
        for position in waiting_positions(step)
        if now - step.isolated_since_s.setdefault(position, now) >= _MAX_WAIT_S
    }


def has_isolated_run(worker: fleet.Worker, now: float) -> bool:
    """Returns whether a worker has a run that runs alone now."""
    for run in worker.runs.values():
        step = run.step
        # Hardly any step has losses; all runs are examined in each plan.
        if not step.crashes and not step.suspicions:
            continue
        if is_isolated(step, run.name.task.position) and not _has_run_for_long(
            run, now
        ):
            return True
    return False


def _has_run_for_long(run: runs.Run, now: float) -> bool:
    return (
        run.step.spec.is_long_running
        and now - run.confirmed_s >= _LONG_RUNNING_ALONE_S
    )


class WorkerBudget:
    """Limits the workers that are kept for isolated tasks.

    The limit holds for each service, and for its workers with each label.

    Args:
        workers: All workers of the cell.
        now: Current monotonic time in seconds.
    """

    def __init__(self, workers: list[fleet.Worker], now: float) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._kept: collections.Counter[tuple[str, str]] = collections.Counter()
        for worker in workers:
            self._counts.update(_groups(worker))
            if has_isolated_run(worker, now):
                self.keep(worker)

    def allows(self, worker: fleet.Worker) -> bool:
        """Returns whether a worker may be kept for a further task."""
        return all(
            self._kept[group]
            < max(1, int(self._counts[group] * _MAX_WORKER_SHARE))
            for group in _groups(worker)
        )

    def keep(self, worker: fleet.Worker) -> None:
        """Counts a worker that is kept for an isolated task."""
        self._kept.update(_groups(worker))


def _groups(worker: fleet.Worker) -> list[tuple[str, str]]:
    """Returns the service and label of the steps that may need a worker."""
    registration = worker.registration
    return [
        (registration.service, label) for label in ("", *registration.labels)
    ]


def choose_worker(
    step: step_progress.StepProgress,
    position: int,
    capacities: list[worker_capacity.WorkerCapacity],
    now: float,
    times: run_times.RunTimes,
) -> worker_capacity.WorkerCapacity | None:
    """Returns the worker that is expected to be without runs first.

    Prefers workers on which the task has not failed, then those in the rack of
    the data, then those that are not cold. If none is expected to be empty soon, the task shares the one with
    the fewest runs on which it fits.

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
            _empty_at_s(capacity, now, times),
            # A run that takes longer than expected seems to end now.
            bool(capacity.worker.runs),
            _is_far(capacity, spec),
            capacity.worker.is_cold(now),
            number,
        )
        for number, capacity in enumerate(capacities)
        if capacity.fits_alone(spec) and _is_empty_soon(capacity, now, times)
    ]
    if emptied:
        return capacities[min(emptied)[-1]]
    shared = [capacity for capacity in capacities if capacity.fits(spec, now)]
    return min(
        shared, key=lambda capacity: len(capacity.worker.runs), default=None
    )


def can_start(
    capacity: worker_capacity.WorkerCapacity,
    spec: model.StepSpec,
    now: float,
    times: run_times.RunTimes,
) -> bool:
    """Returns whether an isolated task may start on its chosen worker now."""
    return capacity.fits(spec, now) and (
        not capacity.worker.runs or not _is_empty_soon(capacity, now, times)
    )


def _is_empty_soon(
    capacity: worker_capacity.WorkerCapacity,
    now: float,
    times: run_times.RunTimes,
) -> bool:
    return _empty_at_s(capacity, now, times) <= now + _MAX_EMPTYING_S


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
