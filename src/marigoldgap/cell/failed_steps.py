"""Keeps an unexpected error in planning a step to that step."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.cell import containment
from marigoldgap.cell import planning_pass
from marigoldgap.cell import step_progress

# Longest pause before a step whose planning failed is planned again, in seconds.
_MAX_PAUSE_S = 60.0


class PlanSize(NamedTuple):
    """Number of placements and requests for advice in a plan."""

    placements: int
    advice: int

    @classmethod
    def of(cls, plan: planning_pass.Plan) -> PlanSize:
        """Returns the present size of a plan."""
        return cls(len(plan.placements), len(plan.advice))


class FailedSteps:
    """Steps whose planning failed; each is planned again after a growing pause.

    Only steps that wait are kept, so their number is bounded by these.
    """

    def __init__(self) -> None:
        self._pauses: dict[
            step_progress.StepProgress, containment.GrowingPause
        ] = {}

    def __contains__(self, step: step_progress.StepProgress) -> bool:
        return step in self._pauses

    def keep_only(self, steps: list[step_progress.StepProgress]) -> None:
        """Forgets the steps that do not wait any more."""
        if self._pauses:
            for step in self._pauses.keys() - set(steps):
                del self._pauses[step]

    def add(
        self,
        step: step_progress.StepProgress,
        error: Exception,
        plan: planning_pass.Plan,
        former: PlanSize,
        now: float,
    ) -> None:
        """Handles an error: nothing of the step stays in the plan.

        Args:
            step: The step that was planned.
            error: The error.
            plan: The plan to which its placements were added.
            former: Size of the plan before.
            now: Current monotonic time in seconds.
        """
        containment.record(
            "planning", error, f"{step.job.job_id}.{step.number}"
        )
        del plan.placements[former.placements :]
        del plan.advice[former.advice :]
        pause = self._pauses.setdefault(
            step, containment.GrowingPause(max_s=_MAX_PAUSE_S)
        )
        step.not_before_s = now + pause.next_s()
