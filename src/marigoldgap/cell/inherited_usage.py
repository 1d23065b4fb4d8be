"""Resources that workspaces may use on workers that have not answered yet.

After an election the runs on such a worker are unknown until it answers or its
lease has expired. The upper limits of workspaces hold all the same.
"""

from __future__ import annotations

from collections.abc import Iterable

from marigoldgap.cell import model
from marigoldgap.cell import step_progress


def unknown_usage(
    capacities: list[model.Demand], steps: Iterable[step_progress.StepProgress]
) -> dict[str, list[int]]:
    """Returns an upper bound on the unknown usage of each workspace.

    Args:
        capacities: Capacities of the workers that have not answered.
        steps: Steps from earlier elections with tasks whose runs are unknown.

    Returns:
        The amount of each resource that the waiting tasks of a workspace need,
        at most the capacity of the workers.
    """
    usage: dict[str, list[int]] = {}
    if not capacities:
        return usage
    totals = [sum(amounts) for amounts in zip(*capacities, strict=True)]
    for step in steps:
        used = usage.setdefault(step.job.record.workspace, [0, 0, 0])
        for index, amount in enumerate(step.spec.demand):
            needed = used[index] + amount * len(step.waiting)
            used[index] = min(needed, totals[index])
    return usage
