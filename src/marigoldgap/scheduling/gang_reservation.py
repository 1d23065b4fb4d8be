"""What one gang has reserved and what it still waits for."""

from __future__ import annotations

from collections.abc import Mapping

from marigoldgap.scheduling import gang_model
from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources


class GangReservation:
    """State of the gang that reserves for a service.

    Args:
        gang: The gang.
        expires_ms: When the reservation ends at the instances.

    Attributes:
        asked: Tasks that instances were asked to reserve and not answered.
        reserved: Tasks that instances have reserved.
        full: Instances that reserved less than they were asked for.
    """

    def __init__(self, gang: gang_model.Gang, expires_ms: int) -> None:
        self.gang = gang
        self.expires_ms = expires_ms
        self.state = gang_model.GangState.RESERVING
        self.asked: dict[str, int] = {}
        self.reserved: dict[str, int] = {}
        self.full: set[str] = set()

    @property
    def missing(self) -> int:
        """Tasks that are neither reserved nor asked for."""
        return (
            self.gang.tasks
            - sum(self.asked.values())
            - sum(self.reserved.values())
        )

    @property
    def holders(self) -> frozenset[str]:
        """Instances that hold or may hold a part of the reservation."""
        return frozenset(self.asked) | frozenset(self.reserved)

    def record(self, instance_id: str, count: int) -> None:
        """Takes over the answer of an instance that was asked."""
        asked = self.asked.pop(instance_id)
        before = self.reserved.get(instance_id, 0)
        self.reserved[instance_id] = before + min(count, asked)
        if count < asked:
            self.full.add(instance_id)

    def plan(
        self, free: Mapping[str, model.Resources]
    ) -> gang_model.GangPlan | None:
        """Asks the instances with the most room, so that few are needed.

        Returns:
            The plan for the missing tasks, or None if they do not all fit.
        """
        missing = self.missing
        counts: dict[str, int] = {}
        for room, name in self._rooms(free):
            if missing == 0 or room <= 0:
                break
            counts[name] = min(room, missing)
            missing -= counts[name]
        if missing:
            return None
        self.asked.update(counts)
        return gang_model.GangPlan(self.gang.job_id, counts, self.expires_ms)

    def _rooms(
        self, free: Mapping[str, model.Resources]
    ) -> list[tuple[int, str]]:
        needed = self.gang.resources
        rooms = [
            (
                resources.copies_in(needed, amount)
                - self.reserved.get(name, 0),
                name,
            )
            for name, amount in free.items()
            if name not in self.full and name not in self.asked
        ]
        return sorted(rooms, reverse=True)
