"""Batch tasks are packed tightly and ordered by their latest start."""

from __future__ import annotations

from marigoldgap.scheduling import model
from marigoldgap.scheduling.policies import registry


@registry.placement_policy("batch")
class BatchPolicy:
    """Tight packing leaves whole workers free for large tasks and gangs."""

    def choose(
        self,
        view: registry.CapacityView,
        task: model.TaskSpec,
        avoid: frozenset[str],
    ) -> str | None:
        """Returns the fitting worker with the fewest free slots."""
        return view.tightest(task, avoid)

    def latest_start_ms(self, task: model.TaskSpec) -> int | None:
        """Returns the filing deadline less the remaining run time.

        `expected_run_ms` is the estimate of the run time that remains; for a
        task that was checkpointed it is less than the declared run time.
        """
        if task.deadline_ms is None:
            return None
        return task.deadline_ms - (task.expected_run_ms or 0)
