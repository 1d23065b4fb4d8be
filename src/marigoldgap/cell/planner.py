"""Assigns waiting tasks to workers.

Steps are planned in the order of urgency. A gang that does not fit yet reserves
capacity on the workers where it is expected to fit first. Later steps may
backfill reserved capacity only if they are expected to end before the
reservation starts. Tasks that run alone are planned before all others.
"""

from __future__ import annotations

from marigoldgap.cell import failed_steps
from marigoldgap.cell import fair_shares
from marigoldgap.cell import fleet
from marigoldgap.cell import fleet_summary
from marigoldgap.cell import gang_planner
from marigoldgap.cell import isolation
from marigoldgap.cell import model
from marigoldgap.cell import planning_pass
from marigoldgap.cell import run_times
from marigoldgap.cell import step_progress
from marigoldgap.cell import task_planner
from marigoldgap.cell import urgency

# Reasons that hold for a step whose workers are all in evacuated zones.
_LACKS_WORKERS = frozenset(
    {
        step_progress.WaitReason.NO_CANDIDATE,
        step_progress.WaitReason.ADVICE_PENDING,
        step_progress.WaitReason.NOT_ADVISED,
        step_progress.WaitReason.NO_CAPACITY,
        step_progress.WaitReason.NO_RESERVATION,
        step_progress.WaitReason.NO_WORKER_ALONE,
    }
)


class Planner:
    """Plans in passes; one call of `plan` is a pass over all waiting steps.

    Args:
        workers: The workers of the cell.
        times: Learned run times.
    """

    def __init__(self, workers: fleet.Fleet, times: run_times.RunTimes) -> None:
        self._workers = workers
        self._times = times
        # Workers on which gangs held reservations in the previous plan.
        self._reserved: frozenset[str] = frozenset()
        self._shares = fair_shares.FairShares()
        self._summary: fleet_summary.FleetSummary | None = None
        self._failed = failed_steps.FailedSteps()

    def plan(
        self,
        steps: list[step_progress.StepProgress],
        usage: dict[str, list[int]],
        workspaces: dict[str, model.Workspace],
        now: float,
        evacuated: frozenset[str] = frozenset(),
    ) -> planning_pass.Plan:
        """Plans the waiting steps.

        Args:
            steps: Steps with waiting tasks whose prerequisites are done.
            usage: Resources that each workspace uses; updated with the plan.
            workspaces: Workspaces with their upper limits, by name.
            now: Current monotonic time in seconds.
            evacuated: Names of the evacuated zones, whose workers are not used.
        """
        if self._summary is None or not self._summary.is_current(
            evacuated, now
        ):
            self._summary = fleet_summary.FleetSummary(
                self._workers, self._times, evacuated, now
            )
        planning = planning_pass.PlanningPass(
            self._workers,
            self._times,
            usage,
            workspaces,
            self._reserved,
            now,
            evacuated,
            self._summary,
        )
        self._shares.update(usage, self._summary.capacity, workspaces, now)
        self._failed.keep_only(steps)
        planned = self._by_urgency(planning, steps)
        self._plan_isolated(planning, planned)
        gangs = gang_planner.GangPlanner(planning)
        for step in planned:
            size = failed_steps.PlanSize.of(planning.plan)
            try:
                has_room = planning.has_room(step)
                _plan_step(planning, gangs, step)
                step.is_advice_deferred = urgency.is_advice_deferred(
                    step, has_room, planning.is_fleet_idle(step)
                )
            except Exception as error:
                self._failed.add(step, error, planning.plan, size, now)
        self._reserved = planning.reserved_workers
        return planning.plan

    def _by_urgency(
        self,
        planning: planning_pass.PlanningPass,
        steps: list[step_progress.StepProgress],
    ) -> list[step_progress.StepProgress]:
        """Returns the steps in the order in which they are planned.

        Keeps the sort key of each step. A step without one is left out.
        """
        keyed = []
        for step in steps:
            if step in self._failed and step.not_before_s > planning.now:
                continue
            try:
                level = self._shares.level(step.job.record.workspace)
                step.urgency = urgency.urgency(step, level, planning.now)
            except Exception as error:
                size = failed_steps.PlanSize.of(planning.plan)
                self._failed.add(step, error, planning.plan, size, planning.now)
                continue
            keyed.append((step.urgency, step))
        keyed.sort(key=lambda pair: pair[0])
        return [step for _, step in keyed]

    def _plan_isolated(
        self,
        planning: planning_pass.PlanningPass,
        steps: list[step_progress.StepProgress],
    ) -> None:
        """Plans the tasks that run alone, in the order of their steps."""
        isolated = [
            step
            for step in steps
            if step.not_before_s <= planning.now
            and isolation.waiting_positions(step)
        ]
        if not isolated:
            return
        budget = isolation.WorkerBudget(planning.workers, planning.now)
        for step in isolated:
            size = failed_steps.PlanSize.of(planning.plan)
            try:
                task_planner.plan_isolated(planning, step, budget)
            except Exception as error:
                self._failed.add(step, error, planning.plan, size, planning.now)


def _plan_step(
    planning: planning_pass.PlanningPass,
    gangs: gang_planner.GangPlanner,
    step: step_progress.StepProgress,
) -> None:
    """Plans one step and notes why its tasks wait if none of them starts."""
    if step.not_before_s > planning.now:
        step.wait_reason = step_progress.WaitReason.RETRY_PAUSE
        return
    if step.spec.is_gang:
        reason = gangs.plan(step)
    else:
        reason = task_planner.plan_tasks(planning, step)
    if reason in _LACKS_WORKERS and planning.is_evacuated(step):
        reason = step_progress.WaitReason.EVACUATED
    step.wait_reason = reason
    if reason is step_progress.WaitReason.HELD_BACK:
        step.held_back_since_s = min(step.held_back_since_s, planning.now)
    elif reason is step_progress.WaitReason.STARTING:
        step.held_back_since_s = float("inf")
