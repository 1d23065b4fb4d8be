"""Index that finds a worker with enough free capacity without a full scan.

Workers are in buckets by their number of free slots (level) and by the size
classes of their other free resources (shape). A search intersects the bit set
of the non-empty buckets of a level with the bit set of the shapes that
certainly fit, so its cost depends on the number of distinct shapes and not on
the number of workers.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources
from marigoldgap.scheduling import size_classes

# Maximum number of workers that one search examines in shapes of which only
# some workers fit. The next search continues where this one stopped, so
# repeated searches find a fitting worker eventually.
_MAX_EXAMINED = 16
_MAX_EXAMINED_PER_BUCKET = 4
# Number of fitting shapes of one level that are compared for the best one.
_MAX_SHAPES_COMPARED = 8


def _bits(mask: int) -> Iterator[int]:
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest


class _Level:
    """Workers with the same number of free slots, in buckets by shape."""

    def __init__(self) -> None:
        self.occupied = 0
        self.buckets: dict[int, dict[str, None]] = {}

    def add(self, number: int, worker_id: str) -> None:
        self.buckets.setdefault(number, {})[worker_id] = None
        self.occupied |= 1 << number

    def discard(self, number: int, worker_id: str) -> None:
        bucket = self.buckets[number]
        del bucket[worker_id]
        if not bucket:
            del self.buckets[number]
            self.occupied ^= 1 << number


class CapacityLevels:
    """Workers ordered by free capacity.

    Args:
        shapes: Table of shapes; several objects may share it.
        free_of: Returns the free resources of a worker of this object.

    Attributes:
        examined: Number of workers that searches have examined since creation.
    """

    def __init__(
        self,
        shapes: size_classes.ShapeTable,
        free_of: Callable[[str], model.Resources],
    ) -> None:
        self._shapes = shapes
        self._free_of = free_of
        self._levels: dict[int, _Level] = {}
        self._occupied = 0
        self._cursor = 0
        self.examined = 0

    def add(self, worker_id: str, key: size_classes.BucketKey) -> None:
        """Adds a worker; it is chosen after equal workers added earlier."""
        level = self._levels.get(key.slots)
        if level is None:
            level = self._levels[key.slots] = _Level()
            self._occupied |= 1 << key.slots
        level.add(key.shape, worker_id)

    def discard(self, worker_id: str, key: size_classes.BucketKey) -> None:
        """Removes a worker from the bucket that it was added to."""
        level = self._levels[key.slots]
        level.discard(key.shape, worker_id)
        if not level.occupied:
            del self._levels[key.slots]
            self._occupied ^= 1 << key.slots

    def best_fit(
        self, needed: model.Resources, avoid: frozenset[str]
    ) -> str | None:
        """Returns a fitting worker with the fewest free slots."""
        return self._find(needed, avoid, smallest_first=True)

    def worst_fit(
        self, needed: model.Resources, avoid: frozenset[str]
    ) -> str | None:
        """Returns a fitting worker with the most free slots."""
        return self._find(needed, avoid, smallest_first=False)

    def _find(
        self,
        needed: model.Resources,
        avoid: frozenset[str],
        smallest_first: bool,
    ) -> str | None:
        slots = self._slot_levels(needed.slots, smallest_first)
        if not slots:
            return None
        covering = self._shapes.covering(size_classes.covering_shape(needed))
        for count in slots:
            level = self._levels[count]
            certain = level.occupied & covering
            if not certain:
                continue
            found = self._first_allowed(level, certain, avoid, smallest_first)
            if found is not None:
                return found
        return self._search_uncertain(needed, avoid, covering, slots)

    def _slot_levels(self, needed: int, smallest_first: bool) -> list[int]:
        wanted = (self._occupied >> max(needed, 0)) << max(needed, 0)
        counts = list(_bits(wanted))
        return counts if smallest_first else counts[::-1]

    def _first_allowed(
        self,
        level: _Level,
        mask: int,
        avoid: frozenset[str],
        smallest_first: bool,
    ) -> str | None:
        for number in self._ordered(mask, smallest_first):
            for worker_id in level.buckets[number]:
                self.examined += 1
                if worker_id not in avoid:
                    return worker_id
        return None

    def _ordered(self, mask: int, smallest_first: bool) -> Iterator[int]:
        numbers = list(_bits(mask))
        if len(numbers) == 1:
            return iter(numbers)
        head, rest = (
            numbers[:_MAX_SHAPES_COMPARED],
            numbers[_MAX_SHAPES_COMPARED:],
        )
        head.sort(
            key=lambda number: size_classes.shape_sort_key(
                self._shapes.shapes[number]
            ),
            reverse=not smallest_first,
        )
        return iter(head + rest)

    def _search_uncertain(
        self,
        needed: model.Resources,
        avoid: frozenset[str],
        covering: int,
        slots: list[int],
    ) -> str | None:
        """Examines workers of shapes in which some workers may fit."""
        possible = (
            self._shapes.covering(size_classes.shape_of(needed)) & ~covering
        )
        buckets = [
            self._levels[count].buckets[number]
            for count in slots
            for number in _bits(self._levels[count].occupied & possible)
        ]
        if not buckets:
            return None
        rounds = min(len(buckets), _MAX_EXAMINED // _MAX_EXAMINED_PER_BUCKET)
        start = self._cursor
        self._cursor += rounds
        for step in range(start, start + rounds):
            bucket = buckets[step % len(buckets)]
            found = self._examine_bucket(bucket, needed, avoid)
            if found is not None:
                return found
        return None

    def _examine_bucket(
        self,
        bucket: dict[str, None],
        needed: model.Resources,
        avoid: frozenset[str],
    ) -> str | None:
        for _ in range(min(_MAX_EXAMINED_PER_BUCKET, len(bucket))):
            worker_id = next(iter(bucket))
            self.examined += 1
            if worker_id not in avoid and resources.fits_in(
                needed, self._free_of(worker_id)
            ):
                return worker_id
            del bucket[worker_id]
            bucket[worker_id] = None
        return None
