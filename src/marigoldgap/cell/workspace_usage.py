"""Adds up the resources that workspaces use or may use."""

from __future__ import annotations

import collections
from collections.abc import Callable

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap.cell import inherited_usage
from marigoldgap.cell import job_tracker
from marigoldgap.cell import model
from marigoldgap.cell import planning_pass
from marigoldgap.cell import runs
from marigoldgap.cell import worker_tracker
from marigoldgap.cell import workspace_limits

_log = decision_log.DecisionLogger("scheduler")

# Time for which a sum may be used again to check a start that is repeated.
_MAX_SUM_AGE_S = 0.1


class WorkspaceUsage:
    """Knows what runs of each workspace, and whether a start is still allowed.

    Args:
        workers: The workers and their runs.
        tracker: Tracks the jobs.
        configuration: Returns the configuration in force.
    """

    def __init__(
        self,
        workers: worker_tracker.WorkerTracker,
        tracker: job_tracker.JobTracker,
        configuration: Callable[[], model.Configuration | None],
    ) -> None:
        self._workers = workers
        self._job_tracker = tracker
        self._configuration = configuration
        self._sum: dict[str, list[int]] = {}
        self._summed_s = float("-inf")

    def current(self) -> dict[str, list[int]]:
        """Returns the resources that each workspace uses or may use."""
        usage = inherited_usage.unknown_usage(
            self._workers.inherited.capacities(),
            inherited_usage.possible_runs(self._job_tracker.inherited_jobs()),
        )
        for worker in self._workers.workers.values():
            for run in worker.runs.values():
                used = usage.setdefault(
                    run.step.job.record.workspace, [0, 0, 0]
                )
                for index, amount in enumerate(run.step.spec.demand):
                    used[index] += amount
        return usage

    def exceeds_limit(self, run: runs.Run) -> bool:
        """Returns whether a run that has not begun would exceed a limit.

        The limit may have been lowered since its start was planned.
        """
        configuration = self._configuration()
        if configuration is None:
            return False
        step = run.step
        workspace = configuration.workspaces.get(step.job.record.workspace)
        if workspace is None or not any(workspace.limit):
            return False
        # A gang is allowed as a whole, also if some members have begun.
        checked = [
            each
            for each in step.active.values()
            if step.spec.is_gang or each.state is runs.RunState.STARTING
        ]
        used = self._recent().get(workspace.name, [0, 0, 0])
        others = [
            amount - len(checked) * need
            for amount, need in zip(used, step.spec.demand, strict=True)
        ]
        allowed = workspace_limits.allowed_tasks(
            workspace.limit,
            others,
            step.spec,
            len(checked),
            has_runs=len(checked) < len(step.active),
        )
        return allowed < len(checked)

    def _recent(self) -> dict[str, list[int]]:
        now = clock.now_s()
        if now - self._summed_s > _MAX_SUM_AGE_S:
            self._sum = self.current()
            self._summed_s = now
        return self._sum


def log_starts(
    plan: planning_pass.Plan,
    usage: dict[str, list[int]],
    configuration: model.Configuration,
) -> None:
    """Logs the use of each workspace with a limit of which tasks start."""
    started = collections.Counter(
        each.step.job.record.workspace for each in plan.placements
    )
    for name, count in started.items():
        workspace = configuration.workspaces.get(name)
        if workspace is not None and any(workspace.limit):
            _log.info(
                "limit_checked",
                workspace=name,
                starts=count,
                used_after=usage[name],
                limit=workspace.limit,
                version=configuration.version,
            )
