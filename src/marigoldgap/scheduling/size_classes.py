"""Size classes of free resources, and which of them cover a need."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.scheduling import model

# Size class of connections, millicores, memory and accelerators.
Shape = tuple[int, int, int, int]


class Place(NamedTuple):
    """Where a worker is listed: its free slots and the number of its shape."""

    slots: int
    shape: int


# Bounds the memory of the table; needs that are asked for again are computed
# again.
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


def shape_of(free: model.Resources) -> Shape:
    """Returns the size classes of free resources."""
    return (
        size_class(free[1]),
        size_class(free[2]),
        size_class(free[3]),
        size_class(free[4]),
    )


def covering_shape(needed: model.Resources) -> Shape:
    """Returns the smallest classes that certainly cover a need."""
    return (
        _sure_class(needed[1]),
        _sure_class(needed[2]),
        _sure_class(needed[3]),
        _sure_class(needed[4]),
    )


def headroom(shape: Shape) -> tuple[int, int]:
    """Orders shapes; those with accelerators are the last to be used up."""
    return shape[3], shape[0] + shape[1] + shape[2]


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

    def place(self, free: model.Resources) -> Place:
        """Returns where a worker with these free resources is listed."""
        return Place(max(free.slots, 0), self.number(shape_of(free)))

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
