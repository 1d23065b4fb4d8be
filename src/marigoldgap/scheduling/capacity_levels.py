"""Finds a worker with enough free capacity without looking at all workers.

Workers are kept in buckets by their number of free slots and by the size class
of their other free resources. A bit set of the non-empty buckets of a level is
compared with the bit set of the classes that certainly fit, so the cost depends
on the number of different classes and not on the number of workers.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources

# Size class of connections, millicores, memory and accelerators.
Shape = tuple[int, int, int, int]

# Looks at this many workers whose class may fit; a repeated search continues
# where the last one stopped, so a fitting worker is found eventually.
_PROBES = 16
_PROBES_PER_BUCKET = 4
# Compares this many fitting classes of one level to find the best of them.
_SHAPES_COMPARED = 8
_MASK_CACHE_LIMIT = 4_096


def size_class(amount: int) -> int:
    """Returns the class of an amount; classes are half powers of two wide."""
    if amount < 2:
        return max(amount, 0)
    bits = amount.bit_length()
    return 2 * bits - 2 + ((amount >> (bits - 2)) & 1)


def class_floor(level: int) -> int:
    """Returns the smallest amount of a class."""
    if level < 2:
        return level
    return (2 | (level & 1)) << ((level + 2) // 2 - 2)


def _sure_class(amount: int) -> int:
    level = size_class(amount)
    return level if class_floor(level) >= amount else level + 1


def _shape(free: model.Resources) -> Shape:
    return (
        size_class(free[1]),
        size_class(free[2]),
        size_class(free[3]),
        size_class(free[4]),
    )


def _sure_shape(needed: model.Resources) -> Shape:
    return (
        _sure_class(needed[1]),
        _sure_class(needed[2]),
        _sure_class(needed[3]),
        _sure_class(needed[4]),
    )


def _headroom(shape: Shape) -> tuple[int, int]:
    """Orders shapes; those with accelerators are the last to be used up."""
    return shape[3], shape[0] + shape[1] + shape[2]


def _bits(mask: int) -> Iterator[int]:
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest


class ShapeTable:
    """Numbers the shapes that occur and knows which of them cover a need."""

    def __init__(self) -> None:
        self._numbers: dict[Shape, int] = {}
        self._masks: dict[Shape, tuple[int, int]] = {}
        self.shapes: list[Shape] = []

    def number(self, shape: Shape) -> int:
        """Returns the number of the shape, a new one for a new shape."""
        known = self._numbers.get(shape)
        if known is not None:
            return known
        self._numbers[shape] = len(self.shapes)
        self.shapes.append(shape)
        return len(self.shapes) - 1

    def covering(self, needed: Shape) -> int:
        """Returns the bit set of the shapes that are at least `needed`."""
        mask, seen = self._masks.get(needed, (0, 0))
        if seen == len(self.shapes):
            return mask
        for number in range(seen, len(self.shapes)):
            if all(
                have >= need
                for have, need in zip(self.shapes[number], needed, strict=True)
            ):
                mask |= 1 << number
        if len(self._masks) >= _MASK_CACHE_LIMIT:
            self._masks.clear()
        self._masks[needed] = (mask, len(self.shapes))
        return mask


class _Level:
    """The workers with the same number of free slots, by shape."""

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
        shapes: Table of shapes; may be shared between several objects.
        free_of: Returns the free resources of a worker of this object.

    Attributes:
        examined: Number of workers looked at since the start.
    """

    def __init__(
        self, shapes: ShapeTable, free_of: Callable[[str], model.Resources]
    ) -> None:
        self._shapes = shapes
        self._free_of = free_of
        self._levels: dict[int, _Level] = {}
        self._occupied = 0
        self._cursor = 0
        self.examined = 0

    def add(self, worker_id: str, free: model.Resources) -> None:
        """Adds a worker; it is chosen after equal workers added before."""
        slots = max(free.slots, 0)
        level = self._levels.setdefault(slots, _Level())
        level.add(self._shapes.number(_shape(free)), worker_id)
        self._occupied |= 1 << slots

    def discard(self, worker_id: str, free: model.Resources) -> None:
        """Removes a worker that was added with these free resources."""
        slots = max(free.slots, 0)
        level = self._levels[slots]
        level.discard(self._shapes.number(_shape(free)), worker_id)
        if not level.occupied:
            del self._levels[slots]
            self._occupied ^= 1 << slots

    def tightest(
        self, needed: model.Resources, avoid: frozenset[str]
    ) -> str | None:
        """Returns a fitting worker with the fewest free slots."""
        return self._find(needed, avoid, tight=True)

    def freest(
        self, needed: model.Resources, avoid: frozenset[str]
    ) -> str | None:
        """Returns a fitting worker with the most free slots."""
        return self._find(needed, avoid, tight=False)

    def _find(
        self, needed: model.Resources, avoid: frozenset[str], tight: bool
    ) -> str | None:
        covering = self._shapes.covering(_sure_shape(needed))
        slots = self._slot_levels(needed.slots, tight)
        for count in slots:
            level = self._levels[count]
            sure = level.occupied & covering
            if not sure:
                continue
            found = self._first_in(level, sure, avoid, tight)
            if found is not None:
                return found
        return self._probe(needed, avoid, covering, slots)

    def _slot_levels(self, needed: int, tight: bool) -> list[int]:
        wanted = (self._occupied >> max(needed, 0)) << max(needed, 0)
        counts = list(_bits(wanted))
        return counts if tight else counts[::-1]

    def _first_in(
        self, level: _Level, mask: int, avoid: frozenset[str], tight: bool
    ) -> str | None:
        for number in self._ordered(mask, tight):
            for worker_id in level.buckets[number]:
                self.examined += 1
                if worker_id not in avoid:
                    return worker_id
        return None

    def _ordered(self, mask: int, tight: bool) -> Iterator[int]:
        numbers = list(_bits(mask))
        if len(numbers) == 1:
            return iter(numbers)
        head, rest = numbers[:_SHAPES_COMPARED], numbers[_SHAPES_COMPARED:]
        head.sort(
            key=lambda number: _headroom(self._shapes.shapes[number]),
            reverse=not tight,
        )
        return iter(head + rest)

    def _probe(
        self,
        needed: model.Resources,
        avoid: frozenset[str],
        covering: int,
        slots: list[int],
    ) -> str | None:
        """Tries workers of the classes in which some workers fit."""
        possible = self._shapes.covering(_shape(needed)) & ~covering
        buckets = [
            self._levels[count].buckets[number]
            for count in slots
            for number in _bits(self._levels[count].occupied & possible)
        ]
        if not buckets:
            return None
        rounds = min(len(buckets), _PROBES // _PROBES_PER_BUCKET)
        start = self._cursor
        self._cursor += rounds
        for step in range(start, start + rounds):
            bucket = buckets[step % len(buckets)]
            found = self._probe_bucket(bucket, needed, avoid)
            if found is not None:
                return found
        return None

    def _probe_bucket(
        self,
        bucket: dict[str, None],
        needed: model.Resources,
        avoid: frozenset[str],
    ) -> str | None:
        for _ in range(min(_PROBES_PER_BUCKET, len(bucket))):
            worker_id = next(iter(bucket))
            self.examined += 1
            if worker_id not in avoid and resources.fits_in(
                needed, self._free_of(worker_id)
            ):
                return worker_id
            del bucket[worker_id]
            bucket[worker_id] = None
        return None
