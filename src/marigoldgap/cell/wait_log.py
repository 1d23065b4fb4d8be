"""Logs the steps that have been ready for long without a run."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap import decision_log
from marigoldgap.cell import step_progress

_log = decision_log.DecisionLogger("scheduler")

# Interval at which the ready steps are examined.
INTERVAL_S = 1.0
# A step is logged after it has waited for this long.
_MIN_WAIT_S = 3.0
# Minimum time between two lines about the same step.
_REPEAT_S = 5.0
# Maximum number of lines in one pass; the steps that wait longest come first.
_MAX_LINES = 20


class _Wait(NamedTuple):
    """A wait of a step, identified by its latest run and its done tasks."""

    latest_run: int
    done: int
    since_s: float
    logged_s: float = float("-inf")


class WaitLog:
    """Tracks for how long ready steps have had no run."""

    def __init__(self) -> None:
        self._waits: dict[step_progress.StepProgress, _Wait] = {}

    def examine(
        self,
        reasons: list[
            tuple[step_progress.StepProgress, step_progress.WaitReason]
        ],
        now: float,
    ) -> None:
        """Logs the steps that have waited for long.

        Args:
            reasons: All ready steps, with the reason why each one waits.
            now: Current monotonic time in seconds.
        """
        waits = {
            step: self._current_wait(step, now)
            for step, _ in reasons
            if not step.active
        }
        overdue = [
            (step, reason)
            for step, reason in reasons
            if step in waits
            and now - waits[step].since_s >= _MIN_WAIT_S
            and now - waits[step].logged_s >= _REPEAT_S
        ]
        overdue.sort(key=lambda each: waits[each[0]].since_s)
        for step, reason in overdue[:_MAX_LINES]:
            _log_wait(step, reason, now - waits[step].since_s)
            waits[step] = waits[step]._replace(logged_s=now)
        self._waits = waits

    def _current_wait(
        self, step: step_progress.StepProgress, now: float
    ) -> _Wait:
        latest_run = max(step.last_run.values(), default=0)
        wait = self._waits.get(step)
        if wait is None or wait[:2] != (latest_run, step.done):
            return _Wait(latest_run, step.done, now)
        return wait


def _log_wait(
    step: step_progress.StepProgress,
    reason: step_progress.WaitReason,
    waited_s: float,
) -> None:
    # Without a key, the step was never planned.
    order = step.urgency._asdict() if step.urgency else {}
    order.pop("deadline_s", None)
    if step.urgency:
        order["lateness"] = step.urgency.lateness.name.lower()
    _log.warning(
        "step_waiting",
        step=step.advice_name,
        waited_s=round(waited_s, 3),
        tasks=len(step.waiting),
        is_gang=step.spec.is_gang,
        demand=list(step.spec.demand),
        reason=reason.value,
        asked=len(step.asked_workers),
        advised=len(step.advised_workers),
        advice_calls=step.pending_advice_calls,
        **order,
    )
