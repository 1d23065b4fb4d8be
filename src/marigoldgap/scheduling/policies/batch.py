"""Placement policy of batch tasks: tight packing, ordered by latest start."""

from __future__ import annotations

from marigoldgap.scheduling import model
from marigoldgap.scheduling.policies import registry


@registry.placement_policy("batch")
class BatchPolicy:
    """Packs tightly to keep whole workers free for large tasks and gangs."""

    def choose(
        self,
        view: registry.CapacityView,
        task: model.TaskSpec,
        avoid: frozenset[str],
    ) -> str | None:
        """Returns the fitting worker with the fewest free slots."""
        return view.best_fit(task, avoid)

    def latest_start_ms(self, task: model.TaskSpec) -> int | None:
        """Returns the deadline minus the remaining run time.

        `expected_run_ms` is the estimated remaining run time; for a
        checkpointed task it is below the declared run time.
        """
        if task.deadline_ms is None:
            return None
        return task.deadline_ms - (task.expected_run_ms or 0)
