"""Chooses the running task that is preempted for urgent work."""

from __future__ import annotations

from collections.abc import Sequence

from marigoldgap.scheduling import model


def choose_largest_job_task(
    task: model.TaskSpec, running: Sequence[model.RunningTask]
) -> model.RunningTask | None:
    """Returns the largest job task of another job, or None.

    Requests are never chosen, since a caller waits for their answers. The
    largest task is chosen so that one checkpoint frees enough capacity.
    """
    candidates = [
        other
        for other in running
        if other.job_id and other.job_id != task.job_id
    ]
    return max(
        candidates,
        key=lambda other: (other.resources.millicores, other.resources),
        default=None,
    )
