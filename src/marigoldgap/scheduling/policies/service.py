"""Placement policy of long-running services: spread over racks."""

from __future__ import annotations

from marigoldgap.scheduling import model
from marigoldgap.scheduling.policies import registry


@registry.placement_policy("service")
class ServicePolicy:
    """Minimizes the tasks of a service lost to a failed rack or switch."""

    def choose(
        self,
        view: registry.CapacityView,
        task: model.TaskSpec,
        avoid: frozenset[str],
    ) -> str | None:
        """Returns a worker on the rack with the fewest tasks of the service."""
        return view.spread(task, avoid)

    def latest_start_ms(self, task: model.TaskSpec) -> int | None:
        """Returns the deadline of the start, or None."""
        return task.deadline_ms
