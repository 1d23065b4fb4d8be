"""Projects costs to the target size from measured slopes."""

from __future__ import annotations

from typing import NamedTuple

from bench.capacity import fitting
from marigoldgap import errors


class UnitError(errors.MarigoldgapError):
    """Values of incompatible units were combined."""

    code = "wrong-unit"


class Number(NamedTuple):
    """A quantity with its unit."""

    value: float
    unit: str


class Sum(NamedTuple):
    """A cost and its calculation.

    Attributes:
        arithmetic: The calculation as text.
    """

    value: float
    unit: str
    arithmetic: str


class Limit(NamedTuple):
    """The maximum of a cost."""

    value: float
    unit: str


def product(fit: fitting.Fit, number: Number) -> Sum:
    """Returns the slope of a fit multiplied by a number.

    Raises:
        UnitError: The number has another unit than the x of the fit.
    """
    if number.unit != fit.series.x_unit:
        raise UnitError(
            f"cannot multiply a slope per {fit.series.x_unit} by a number of"
            f" {number.unit}"
        )
    value = fit.slope * number.value
    text = f"{fit.slope:.3g} x {number.value:,.4g} {number.unit}"
    return Sum(value, fit.series.y_unit, text)


def base(fit: fitting.Fit) -> Sum:
    """Returns the intercept of a fit: the cost at x = 0."""
    return Sum(fit.intercept, fit.series.y_unit, f"{fit.intercept:.3g}")


def add(parts: tuple[Sum, ...]) -> Sum:
    """Returns the sum of costs.

    Raises:
        UnitError: The costs have different units.
    """
    units = {part.unit for part in parts}
    if len(units) != 1:
        raise UnitError(f"cannot add costs in {' and '.join(sorted(units))}")
    arithmetic = " + ".join(part.arithmetic for part in parts)
    value = sum(part.value for part in parts)
    return Sum(value, units.pop(), arithmetic)


def convert(cost: Sum, factor: float, unit: str) -> Sum:
    """Returns a cost in another unit; its calculation shows the factor."""
    text = f"({cost.arithmetic}) x {factor:g}"
    return Sum(cost.value * factor, unit, text)


def meets(cost: Sum, limit: Limit) -> bool:
    """Returns whether a cost is within a limit.

    Raises:
        UnitError: The cost and the limit have different units.
    """
    if cost.unit != limit.unit:
        raise UnitError(
            f"cannot compare a cost in {cost.unit} with a limit in {limit.unit}"
        )
    return cost.value <= limit.value
