"""Size classes of resource amounts for the capacity index."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.scheduling import model

# Size classes of connections, millicores, memory and accelerators.
Shape = tuple[int, int, int, int]


class BucketKey(NamedTuple):
    """Bucket of a worker: its free slots and the number of its shape."""

    slots: int
    shape: int


# Bounds the memory of the cache; it is cleared at this size and then recomputed
# on demand.
_MASK_CACHE_LIMIT = 4_096


def size_class(amount: int) -> int:
    """Returns the size class of an amount.

    There are two classes per power of two; below 2, each amount is a class.
    """
    if amount < 2:
        return max(amount, 0)
    bits = amount.bit_length()
    return 2 * bits - 2 + ((amount >> (bits - 2)) & 1)


def class_floor(class_number: int) -> int:
    """Returns the smallest amount in a size class."""
    if class_number < 2:
        return class_number
    return (2 | (class_number & 1)) << ((class_number + 2) // 2 - 2)


def _covering_class(amount: int) -> int:
    class_number = size_class(amount)
    return (
        class_number
        if class_floor(class_number) >= amount
        else class_number + 1
    )


def shape_of(free: model.Resources) -> Shape:
    """Returns the size classes of free resources."""
    return (
        size_class(free[1]),
        size_class(free[2]),
        size_class(free[3]),
        size_class(free[4]),
    )


def covering_shape(needed: model.Resources) -> Shape:
    """Returns the smallest size classes in which every amount suffices."""
    return (
        _covering_class(needed[1]),
        _covering_class(needed[2]),
        _covering_class(needed[3]),
        _covering_class(needed[4]),
    )


def shape_sort_key(shape: Shape) -> tuple[int, int]:
    """Sort key of shapes; those with accelerators are used last."""
    return shape[3], shape[0] + shape[1] + shape[2]


class ShapeTable:
    """Numbers the shapes of workers and finds those that cover a shape.

    Attributes:
        shapes: The shapes by number.
    """

    def __init__(self) -> None:
        self._numbers: dict[Shape, int] = {}
        self._masks: dict[Shape, tuple[int, int]] = {}
        self.shapes: list[Shape] = []

    def number(self, shape: Shape) -> int:
        """Returns the number of a shape; assigns one to a new shape."""
        known = self._numbers.get(shape)
        if known is not None:
            return known
        self._numbers[shape] = len(self.shapes)
        self.shapes.append(shape)
        return len(self.shapes) - 1

    def bucket_key(self, free: model.Resources) -> BucketKey:
        """Returns the bucket of a worker with these free resources."""
        return BucketKey(max(free.slots, 0), self.number(shape_of(free)))

    def covering(self, needed: Shape) -> int:
        """Returns the bit set of shapes that cover `needed` in each class."""
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
