"""Estimated free capacity of the zone's instances."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from marigoldgap.coordination import interfaces
from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources

# A started task is part of the reported load after at most two heartbeats.
_HEARTBEAT_LAG_MS = 1_000


class FreeCapacity:
    """Free capacity in heartbeats, less recently placed tasks.

    Heartbeats lag, so tasks placed since the last one must be subtracted. An
    instance with less free capacity than estimated refuses the task.

    Args:
        peers: Provides the heartbeats of the other instances.
        own_id: Id of this instance.
        placer: Provides the load of this instance.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        peers: interfaces.Peers,
        own_id: str,
        placer: interfaces.Placer,
        now_ms: Callable[[], int],
    ) -> None:
        self._peers = peers
        self._own_id = own_id
        self._placer = placer
        self._now_ms = now_ms
        self._recently_placed: list[tuple[int, str, str, model.Resources]] = []
        self._free: dict[str, dict[str, model.Resources]] = {}

    def refresh(self) -> None:
        """Recomputes the estimate; call it before each placement round."""
        now_ms = self._now_ms()
        self._free = {
            member: dict(self._free_of(member))
            for member in self._peers.membership.members
            if member == self._own_id or self._peers.is_linked(member)
        }
        self._recently_placed = [
            entry
            for entry in self._recently_placed
            if now_ms - entry[0] < _HEARTBEAT_LAG_MS
        ]
        for _, instance_id, service, amount in self._recently_placed:
            self._subtract(instance_id, service, amount)

    def choose_instance(
        self, service: str, needed: model.Resources
    ) -> str | None:
        """Returns the instance with room for the most copies, or None."""
        best = None
        most = 0
        for instance_id, free in self._free.items():
            amount = free.get(service)
            if amount is None or not resources.fits_in(needed, amount):
                continue
            copies = resources.copies_in(needed, amount)
            if copies > most:
                best, most = instance_id, copies
        return best

    def of_service(self, service: str) -> dict[str, model.Resources]:
        """Returns the free capacity for a service by instance."""
        return {
            instance_id: free[service]
            for instance_id, free in self._free.items()
            if service in free
        }

    def subtract_task(
        self, instance_id: str, service: str, amount: model.Resources
    ) -> None:
        """Subtracts the resources of a task that is placed now."""
        self._recently_placed.append(
            (self._now_ms(), instance_id, service, amount)
        )
        self._subtract(instance_id, service, amount)

    def total_free(self) -> model.Resources:
        """Returns the free capacity of the zone over all services."""
        total = model.Resources(0, 0)
        for free in self._free.values():
            for amount in free.values():
                total = resources.add(total, amount)
        return total

    def _free_of(self, member: str) -> Mapping[str, model.Resources]:
        """Returns the reported free capacity of a member by service."""
        if member == self._own_id:
            return self._placer.load().free
        known = self._peers.membership.peer(member)
        if known is None or known.state == "draining":
            return {}
        return known.free

    def _subtract(
        self, instance_id: str, service: str, amount: model.Resources
    ) -> None:
        """Subtracts from the free capacity, down to zero."""
        free = self._free.get(instance_id, {})
        if service in free:
            remaining = resources.subtract(free[service], amount)
            free[service] = resources.clamp(remaining)
