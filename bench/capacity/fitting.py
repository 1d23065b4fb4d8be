"""Points of a measured series and the straight line through them."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple

from marigoldgap import errors

_FEWEST = 2


class Series(NamedTuple):
    """What was varied and what was measured.

    Attributes:
        sweep: Name of the sweep.
        measure: What was measured.
        role: Whose cost it is, e.g. `coordinator`.
        x_unit: Unit of the variable.
        y_unit: Unit of the measure.
    """

    sweep: str
    measure: str
    role: str
    x_unit: str
    y_unit: str


class Point(NamedTuple):
    """One measurement of a series."""

    series: Series
    x: float
    y: float


class Fit(NamedTuple):
    """A straight line by least squares.

    Attributes:
        slope: In y units for each x unit.
        intercept: In y units.
        residuals: Measured minus fitted, in the order of the points.
    """

    series: Series
    slope: float
    intercept: float
    residuals: tuple[float, ...]

    @property
    def rms(self) -> float:
        """Root mean square of the residuals in y units."""
        squares = sum(each * each for each in self.residuals)
        return math.sqrt(squares / len(self.residuals))

    def at(self, x: float) -> float:
        """Returns the value of the line."""
        return self.intercept + self.slope * x


class UnfittableError(errors.MarigoldgapError):
    """The points do not determine a line."""

    code = "unfittable"


class MixedSeriesError(errors.MarigoldgapError):
    """Points of different series were put together."""

    code = "mixed-series"


def fit(points: Sequence[Point]) -> Fit:
    """Returns the line through the points of one series.

    Raises:
        MixedSeriesError: The points differ in what they measure.
        UnfittableError: There are fewer than two different x.
    """
    if len({point.series for point in points}) > 1:
        raise MixedSeriesError("a line needs points of one series")
    if len({point.x for point in points}) < _FEWEST:
        raise UnfittableError("a line needs points at two different x")
    count = len(points)
    mean_x = sum(point.x for point in points) / count
    mean_y = sum(point.y for point in points) / count
    spread = sum((point.x - mean_x) ** 2 for point in points)
    common = sum((point.x - mean_x) * (point.y - mean_y) for point in points)
    slope = common / spread
    intercept = mean_y - slope * mean_x
    residuals = tuple(
        point.y - (intercept + slope * point.x) for point in points
    )
    return Fit(points[0].series, slope, intercept, residuals)


def fit_all(points: Iterable[Point]) -> list[Fit]:
    """Returns the line of each series that has one."""
    groups: dict[Series, list[Point]] = {}
    for point in points:
        groups.setdefault(point.series, []).append(point)
    return [
        fit(group)
        for group in groups.values()
        if len({point.x for point in group}) >= _FEWEST
    ]
