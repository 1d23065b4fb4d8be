"""Resources that workspaces may use on workers that have not answered yet.

After an election the runs on such a worker are unknown until it answers or its
lease has expired. The upper limits of workspaces hold all the same.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from marigoldgap.cell import jobs
from marigoldgap.cell import model

# A job that ended in another state had no runs any more.
_STOPPED_STATES = frozenset({model.JobState.FAILED, model.JobState.CANCELLED})


class PossibleRuns(NamedTuple):
    """Tasks of one step that may run on workers that have not answered."""

    workspace: str
    spec: model.StepSpec
    task_count: int


def possible_runs(inherited: Iterable[jobs.Job]) -> Iterator[PossibleRuns]:
    """Yields the tasks of jobs from earlier elections whose runs are unknown.

    The runs of a job that was cancelled or has failed continue until their
    worker stops them, and the stored progress does not tell which ones. That
    of an open job may be older than the starts of its later steps.
    """
    for job in inherited:
        workspace = job.record.workspace
        if job.state in _STOPPED_STATES:
            for spec in job.record.spec.steps:
                count = spec.task_count * job.occurrence_count
                yield PossibleRuns(workspace, spec, count)
        elif not job.is_ended:
            for step in job.open_steps():
                yield PossibleRuns(workspace, step.spec, len(step.waiting))


def unknown_usage(
    capacities: list[model.Demand], possible: Iterable[PossibleRuns]
) -> dict[str, list[int]]:
    """Returns an upper bound on the unknown usage of each workspace.

    Args:
        capacities: Largest capacities of the workers that have not answered.
        possible: Tasks that may run on them.

    Returns:
        The amount of each resource that the tasks of a workspace need, at most
        the capacity of the workers; tasks that use idle cores only may need
        more cores than that.
    """
    usage: dict[str, list[int]] = {}
    if not capacities:
        return usage
    totals = [sum(amounts) for amounts in zip(*capacities, strict=True)]
    idle_millicores: collections.Counter[str] = collections.Counter()
    for each in possible:
        used = usage.setdefault(each.workspace, [0, 0, 0])
        for index, amount in enumerate(each.spec.taken):
            needed = amount * each.task_count
            used[index] = min(used[index] + needed, totals[index])
        idle = each.spec.demand.millicores - each.spec.taken.millicores
        idle_millicores[each.workspace] += idle * each.task_count
    for workspace, amount in idle_millicores.items():
        usage[workspace][0] += amount
    return usage
