"""Reservation state of one gang."""

from __future__ import annotations

from collections.abc import Mapping

from marigoldgap.scheduling import gang_model
from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources


class GangReservation:
    """Tasks of a gang that are requested and reserved at each instance.

    Args:
        gang: The gang.
        expires_ms: Time in milliseconds at which the reservation expires.

    Attributes:
        requested: Tasks requested from each instance without an answer so far.
        reserved: Tasks reserved by each instance.
        full: Instances that reserved fewer tasks than requested.
    """

    def __init__(self, gang: gang_model.Gang, expires_ms: int) -> None:
        self.gang = gang
        self.expires_ms = expires_ms
        self.state = gang_model.GangState.RESERVING
        self.requested: dict[str, int] = {}
        self.reserved: dict[str, int] = {}
        self.full: set[str] = set()

    @property
    def missing(self) -> int:
        """Number of tasks that are neither reserved nor requested."""
        return (
            self.gang.tasks
            - sum(self.requested.values())
            - sum(self.reserved.values())
        )

    @property
    def holders(self) -> frozenset[str]:
        """Instances that have or may have reserved tasks of the gang."""
        return frozenset(self.requested) | frozenset(self.reserved)

    def record(self, instance_id: str, count: int) -> None:
        """Records how many of the requested tasks an instance reserved."""
        requested = self.requested.pop(instance_id)
        before = self.reserved.get(instance_id, 0)
        self.reserved[instance_id] = before + min(count, requested)
        if count < requested:
            self.full.add(instance_id)

    def plan(
        self, free: Mapping[str, model.Resources]
    ) -> gang_model.GangPlan | None:
        """Plans the missing tasks on as few instances as possible.

        Instances with the most free capacity come first.

        Returns:
            The plan for the missing tasks, or None if they do not all fit.
        """
        missing = self.missing
        counts: dict[str, int] = {}
        for fitting_count, name in self._fitting_counts(free):
            if missing == 0 or fitting_count <= 0:
                break
            counts[name] = min(fitting_count, missing)
            missing -= counts[name]
        if missing:
            return None
        self.requested.update(counts)
        return gang_model.GangPlan(self.gang.job_id, counts, self.expires_ms)

    def _fitting_counts(
        self, free: Mapping[str, model.Resources]
    ) -> list[tuple[int, str]]:
        needed = self.gang.resources
        fitting_counts = [
            (
                resources.copies_in(needed, amount)
                - self.reserved.get(name, 0),
                name,
            )
            for name, amount in free.items()
            if name not in self.full and name not in self.requested
        ]
        return sorted(fitting_counts, reverse=True)
