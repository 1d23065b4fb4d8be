"""Run times learned from completed runs; declared ones are inaccurate."""

from __future__ import annotations

from marigoldgap.cell import step_progress

# Weight of the latest run in the exponential moving average.
_NEWEST_WEIGHT = 0.1
# Weight of the declared run time in the expected one; the rest is learned.
_DECLARED_SHARE = 0.5


class RunTimes:
    """Exponential moving average of run times for each queue."""

    def __init__(self) -> None:
        self._average_s: dict[str, float] = {}

    def expected_s(self, step: step_progress.StepProgress) -> float:
        """Returns the expected run time of a task, in seconds."""
        declared = step.spec.estimate_ms / 1000
        average = self._average_s.get(step.job.queue.name)
        if average is None:
            return declared
        if declared <= 0:
            return average
        return _DECLARED_SHARE * declared + (1 - _DECLARED_SHARE) * average

    def record(
        self, step: step_progress.StepProgress, elapsed_s: float
    ) -> None:
        """Records the run time of a completed run."""
        name = step.job.queue.name
        average = self._average_s.get(name, elapsed_s)
        self._average_s[name] = average + _NEWEST_WEIGHT * (elapsed_s - average)
