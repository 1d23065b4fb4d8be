"""Workers of the zone as reported by acknowledged instances (no I/O)."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from marigoldgap.entries import messages
from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources


class ReportedWorker(NamedTuple):
    """A worker and the instance that reported it."""

    worker_id: str
    owner: str
    service: str
    capacity: model.Resources


class ZoneView:
    """Last reported owner and capacity of each worker."""

    def __init__(self) -> None:
        self._workers: dict[str, ReportedWorker] = {}
        self._former_owners: dict[str, set[str]] = {}

    @property
    def workers(self) -> tuple[ReportedWorker, ...]:
        """Workers that were reported in this term and not removed."""
        return tuple(self._workers.values())

    def owner(self, worker_id: str) -> str | None:
        """Returns the instance that owns a worker, or None if unknown."""
        worker = self._workers.get(worker_id)
        return worker.owner if worker and worker.owner else None

    def workers_of(self, instance_id: str) -> tuple[str, ...]:
        """Returns the workers that an instance owns."""
        return tuple(
            worker.worker_id
            for worker in self._workers.values()
            if worker.owner == instance_id
        )

    def acquired(self, instance_id: str, report: messages.OwnedReport) -> None:
        """Records the owner of a worker; the latest report wins."""
        before = self.owner(report.worker_id)
        if before is not None and before != instance_id:
            self._add_former_owner(report.worker_id, before)
        self._workers[report.worker_id] = ReportedWorker(
            worker_id=report.worker_id,
            owner=instance_id,
            service=report.service,
            capacity=report.capacity,
        )

    def lost(self, instance_id: str, worker_id: str) -> None:
        """Records that an instance no longer owns a worker."""
        self._add_former_owner(worker_id, instance_id)
        if self.owner(worker_id) == instance_id:
            known = self._workers[worker_id]
            self._workers[worker_id] = known._replace(owner="")

    def remove(self, worker_id: str) -> None:
        """Removes a worker that the platform no longer lists."""
        self._workers.pop(worker_id, None)

    def take_former_owners(self, worker_id: str) -> frozenset[str]:
        """Returns and clears the former owners, which may still count tasks."""
        return frozenset(self._former_owners.pop(worker_id, ()))

    def forget_instance(self, instance_id: str) -> None:
        """Removes a dead instance from the former owners."""
        for owners in self._former_owners.values():
            owners.discard(instance_id)

    def capacity(self) -> model.Resources:
        """Returns the capacity of all owned workers."""
        total = model.Resources(0, 0)
        for worker in self._workers.values():
            if worker.owner:
                total = resources.add(total, worker.capacity)
        return total

    def has_capacity_of(self, worker_ids: Collection[str]) -> bool:
        """Whether the capacities of all given workers were reported."""
        return self._workers.keys() >= set(worker_ids)

    def copies_when_empty(
        self, service: str, needed: model.Resources
    ) -> int | None:
        """Returns how many tasks of a size fit into the empty zone.

        Returns:
            None if no worker of the service is known yet.
        """
        capacities = [
            worker.capacity
            for worker in self._workers.values()
            if worker.service == service
        ]
        if not capacities:
            return None
        return sum(_copies(needed, capacity) for capacity in capacities)

    def _add_former_owner(self, worker_id: str, instance_id: str) -> None:
        """Records an instance that lost a worker."""
        self._former_owners.setdefault(worker_id, set()).add(instance_id)


def _copies(needed: model.Resources, capacity: model.Resources) -> int:
    """Returns how many copies of an amount fit into a capacity."""
    return resources.copies_in(needed, capacity)
