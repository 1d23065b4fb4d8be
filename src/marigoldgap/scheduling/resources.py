"""Arithmetic on resource amounts."""

from __future__ import annotations

from marigoldgap.scheduling import model

NONE = model.Resources(0, 0, 0, 0, 0)


def add(left: model.Resources, right: model.Resources) -> model.Resources:
    """Returns the sum of two amounts."""
    return model.Resources(
        left[0] + right[0],
        left[1] + right[1],
        left[2] + right[2],
        left[3] + right[3],
        left[4] + right[4],
    )


def subtract(left: model.Resources, right: model.Resources) -> model.Resources:
    """Returns the difference; parts are negative where `right` is larger."""
    return model.Resources(
        left[0] - right[0],
        left[1] - right[1],
        left[2] - right[2],
        left[3] - right[3],
        left[4] - right[4],
    )


def scale(amount: model.Resources, count: int) -> model.Resources:
    """Returns `count` times the amount."""
    return model.Resources(*(value * count for value in amount))


def fits_in(needed: model.Resources, free: model.Resources) -> bool:
    """Returns whether enough of every needed resource is free."""
    return (
        needed[0] <= free[0]
        and needed[1] <= free[1]
        and needed[2] <= free[2]
        and needed[3] <= free[3]
        and needed[4] <= free[4]
    )


def clamp(amount: model.Resources) -> model.Resources:
    """Returns the amount with negative parts replaced by zero."""
    if min(amount) >= 0:
        return amount
    return model.Resources(*(max(0, value) for value in amount))


def copies_in(needed: model.Resources, free: model.Resources) -> int:
    """Returns how many times `needed` fits into the free amount.

    A task that needs nothing counts as needing one slot.
    """
    counts = [
        have // need
        for need, have in zip(needed, free, strict=True)
        if need > 0
    ]
    return max(0, min(counts, default=free.slots))


def dominant_fraction(used: model.Resources, total: model.Resources) -> float:
    """Returns the largest used fraction of slots, cores, memory, accelerators.

    Connections do not count: they are limited to protect the worker and are not
    a resource that teams share. A resource with a total of zero does not count
    either.
    """
    pairs = (
        (used.slots, total.slots),
        (used.millicores, total.millicores),
        (used.memory_mib, total.memory_mib),
        (used.accelerators, total.accelerators),
    )
    return max(
        (part / whole for part, whole in pairs if whole > 0), default=0.0
    )
