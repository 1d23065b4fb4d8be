"""Chooses the workers that a call for advice asks about when it is sent.

A call may wait for seconds until an instance is free. Meanwhile workers leave,
others join, and the tickets that a gang holds on further workers expire.
"""

from __future__ import annotations

from marigoldgap.cell import fleet
from marigoldgap.cell import step_progress

# Number of workers up to which a call asks about more than were requested: the
# time of a call depends little on them.
_MIN_WORKERS = 30


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
    usable = {
        worker.worker_id: worker
        for worker in workers.values()
        if worker.registration.zone not in evacuated
        and worker.is_available(now)
        and _is_suitable(worker, step)
    }
    chosen = [name for name in requested if name in usable]
    further = [
        name
        for name in usable.keys() - set(chosen)
        if name not in step.asked_workers
        or (step.spec.is_gang and name in step.advised_workers)
    ]
    further.sort(key=lambda name: (-usable[name].free()[0], name))
    limit = max(len(requested), _MIN_WORKERS)
    return (chosen + further)[:limit]


def _is_suitable(
    worker: fleet.Worker, step: step_progress.StepProgress
) -> bool:
    registration = worker.registration
    label = step.spec.required_label
    return registration.service == step.job.queue.service and (
        not label or label in registration.labels
    )
