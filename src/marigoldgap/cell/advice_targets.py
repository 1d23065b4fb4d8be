"""Chooses the workers that a call for advice asks about when it is sent.

A call may wait for seconds until an instance is free. Meanwhile workers leave,
others join, and the tickets that a gang holds on further workers expire.
"""

from __future__ import annotations

import heapq
import math

from marigoldgap.cell import fleet
from marigoldgap.cell import ports
from marigoldgap.cell import step_progress

# Number of workers up to which a call asks about more than were requested: the
# time of a call depends little on them.
_MIN_WORKERS = 30
# Minimum of the concurrent calls that a gang may use.
_GANG_CONCURRENT_CALLS = 2


def max_requested(step: step_progress.StepProgress) -> int:
    """Returns the number of workers that calls may ask about at one time."""
    calls = 1
    if step.spec.is_gang:
        calls = max(
            _GANG_CONCURRENT_CALLS,
            math.ceil(step.spec.task_count / ports.MAX_ADVISED_WORKERS),
        )
    return calls * ports.MAX_ADVISED_WORKERS


def choose(
    step: step_progress.StepProgress,
    requested: list[str],
    workers: fleet.Fleet,
    now: float,
    evacuated: frozenset[str] = frozenset(),
) -> list[str]:
    """Returns the ids of the workers to ask about, the requested ones first.

    Workers that the step cannot use any more are left out. A gang also asks
    again about those that it was advised on, as it needs valid tickets for all
    its workers at the same time.

    Args:
        step: The step that needs tickets.
        requested: Ids of the workers that were requested.
        workers: All workers of the cell.
        now: Current monotonic time in seconds.
        evacuated: Names of the evacuated zones, whose workers are left out.
    """
    chosen = {
        name: None
        for name in requested
        if _is_usable(workers, name, step, now, evacuated)
    }
    limit = max(len(requested), _MIN_WORKERS)
    if step.spec.is_gang:
        _add(
            chosen,
            limit,
            workers,
            [
                name
                for name in step.advised_workers
                if name not in chosen
                and _is_usable(workers, name, step, now, evacuated)
            ],
        )
    # All workers are examined only for a call that would ask about few.
    if len(chosen) < min(limit, _MIN_WORKERS):
        _add(
            chosen,
            limit,
            workers,
            [
                worker.worker_id
                for worker in workers.values()
                if worker.worker_id not in chosen
                and worker.worker_id not in step.asked_workers
                and _is_usable(workers, worker.worker_id, step, now, evacuated)
            ],
        )
    return list(chosen)


def _add(
    chosen: dict[str, None],
    limit: int,
    workers: fleet.Fleet,
    further: list[str],
) -> None:
    """Adds workers up to a limit, those with the most free cores first."""

    def key(name: str) -> tuple[int, str]:
        worker = workers.get(name)
        assert worker is not None
        return -worker.free()[0], name

    chosen.update(
        dict.fromkeys(heapq.nsmallest(limit - len(chosen), further, key))
    )


def _is_usable(
    workers: fleet.Fleet,
    worker_id: str,
    step: step_progress.StepProgress,
    now: float,
    evacuated: frozenset[str],
) -> bool:
    worker = workers.get(worker_id)
    return (
        worker is not None
        and worker.registration.zone not in evacuated
        and worker.is_available(now)
        and _is_suitable(worker, step)
    )


def _is_suitable(
    worker: fleet.Worker, step: step_progress.StepProgress
) -> bool:
    registration = worker.registration
    label = step.spec.required_label
    return registration.service == step.job.queue.service and (
        not label or label in registration.labels
    )
