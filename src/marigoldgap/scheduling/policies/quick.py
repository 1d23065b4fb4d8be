"""Placement policy of quick requests: the least loaded worker."""

from __future__ import annotations

from marigoldgap.scheduling import model
from marigoldgap.scheduling.policies import registry


@registry.placement_policy("quick")
class QuickPolicy:
    """Prefers the least loaded worker to keep waiting at the worker short."""

    def choose(
        self,
        view: registry.CapacityView,
        task: model.TaskSpec,
        avoid: frozenset[str],
    ) -> str | None:
        """Returns the fitting worker with the most free slots."""
        return view.worst_fit(task, avoid)

    def latest_start_ms(self, task: model.TaskSpec) -> int | None:
        """Returns the deadline, which is the latest start of a request."""
        return task.deadline_ms
