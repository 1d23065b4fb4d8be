"""Free capacity of the workers of one service."""

from __future__ import annotations

from collections.abc import Callable

from marigoldgap.scheduling import capacity_levels
from marigoldgap.scheduling import model
from marigoldgap.scheduling import rack_spread
from marigoldgap.scheduling import size_classes

# Maximum number of racks that a service task tries before it takes any worker.
_RACKS_TRIED = 32


class Partition:
    """Accepting workers of one service, indexed as a whole and by rack.

    Args:
        free_of: Returns the free resources of a worker.
    """

    def __init__(self, free_of: Callable[[str], model.Resources]) -> None:
        self._free_of = free_of
        self._shapes = size_classes.ShapeTable()
        self._workers = capacity_levels.CapacityLevels(self._shapes, free_of)
        self._racks: dict[str, capacity_levels.CapacityLevels] = {}
        self._rack_order: list[str] = []
        self._bucket_keys: dict[str, size_classes.BucketKey] = {}

    @property
    def examined(self) -> int:
        """Number of workers that searches have examined since creation."""
        return self._workers.examined + sum(
            levels.examined for levels in self._racks.values()
        )

    def add(self, worker: model.WorkerInfo, free: model.Resources) -> None:
        """Adds a worker with its free resources."""
        levels = self._racks.get(worker.rack)
        if levels is None:
            levels = capacity_levels.CapacityLevels(self._shapes, self._free_of)
            self._racks[worker.rack] = levels
            self._rack_order.append(worker.rack)
        key = self._shapes.bucket_key(free)
        self._bucket_keys[worker.worker_id] = key
        self._workers.add(worker.worker_id, key)
        levels.add(worker.worker_id, key)

    def discard(self, worker: model.WorkerInfo) -> None:
        """Removes a worker."""
        key = self._bucket_keys.pop(worker.worker_id)
        self._workers.discard(worker.worker_id, key)
        self._racks[worker.rack].discard(worker.worker_id, key)

    def best_fit(
        self, needed: model.Resources, avoid: frozenset[str]
    ) -> str | None:
        """Returns a fitting worker with the fewest free slots."""
        return self._workers.best_fit(needed, avoid)

    def worst_fit(
        self, needed: model.Resources, avoid: frozenset[str]
    ) -> str | None:
        """Returns a fitting worker with the most free slots."""
        return self._workers.worst_fit(needed, avoid)

    def spread(
        self,
        needed: model.Resources,
        avoid: frozenset[str],
        group: rack_spread.RackSpread,
    ) -> str | None:
        """Returns a fitting worker on the rack with the fewest group tasks."""
        for rack in group.candidates(self._rack_order, _RACKS_TRIED):
            found = self._racks[rack].worst_fit(needed, avoid)
            if found is not None:
                return found
            group.postpone(rack)
        return self.worst_fit(needed, avoid)
