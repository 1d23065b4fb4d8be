"""Works out a cost at the size to design for, from measured slopes."""

from __future__ import annotations

from typing import NamedTuple

from bench.capacity import fitting
from marigoldgap import errors


class UnitError(errors.MarigoldgapError):
    """A number was multiplied with the slope of another variable."""

    code = "wrong-unit"


class Number(NamedTuple):
    """How much there is of something, with its unit."""

    value: float
    unit: str


class Sum(NamedTuple):
    """A cost and how it was worked out.

    Attributes:
        arithmetic: The products, as text.
    """

    value: float
    unit: str
    arithmetic: str


class Limit(NamedTuple):
    """The most that a cost may be."""

    value: float
    unit: str


def product(fit: fitting.Fit, number: Number) -> Sum:
    """Returns slope times number.

    Raises:
        UnitError: The number is not of what the fit varied.
    """
    if number.unit != fit.series.x_unit:
        raise UnitError(
            f"{number.unit} cannot multiply a slope per {fit.series.x_unit}"
        )
    value = fit.slope * number.value
    text = f"{fit.slope:.3g} x {number.value:,.4g} {number.unit}"
    return Sum(value, fit.series.y_unit, text)


def base(fit: fitting.Fit) -> Sum:
    """Returns the intercept: what is paid with nothing of the variable."""
    return Sum(fit.intercept, fit.series.y_unit, f"{fit.intercept:.3g}")


def add(parts: tuple[Sum, ...]) -> Sum:
    """Returns the sum of costs.

    Raises:
        UnitError: The costs have different units.
    """
    units = {part.unit for part in parts}
    if len(units) != 1:
        raise UnitError(f"cannot add {' and '.join(sorted(units))}")
    arithmetic = " + ".join(part.arithmetic for part in parts)
    value = sum(part.value for part in parts)
    return Sum(value, units.pop(), arithmetic)


def convert(cost: Sum, factor: float, unit: str) -> Sum:
    """Returns a cost in another unit, with the factor in the arithmetic."""
    text = f"({cost.arithmetic}) x {factor:g}"
    return Sum(cost.value * factor, unit, text)


def meets(cost: Sum, limit: Limit) -> bool:
    """Returns whether a cost is within a limit.

    Raises:
        UnitError: They have different units.
    """
    if cost.unit != limit.unit:
        raise UnitError(f"cannot compare {cost.unit} with {limit.unit}")
    return cost.value <= limit.value
