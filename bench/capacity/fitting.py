"""Linear least-squares fits of measured series."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple

from marigoldgap import errors

_MIN_DISTINCT_X = 2


class Series(NamedTuple):
    """Identity of a series: what is varied and what is measured.

    Attributes:
        sweep: Name of the sweep.
        measure: Name of the measured cost.
        role: Role that has the cost, e.g. `coordinator`.
        x_unit: Unit of the varied quantity.
        y_unit: Unit of the measured cost.
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
    """A least-squares line.

    Attributes:
        slope: In y units per x unit.
        intercept: Value at x = 0, in y units.
        residuals: Measured minus fitted values, in the order of the points.
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
        """Returns the value of the line at an x."""
        return self.intercept + self.slope * x


class UnfittableError(errors.MarigoldgapError):
    """The points do not determine a line."""

    code = "unfittable"


class MixedSeriesError(errors.MarigoldgapError):
    """A fit was requested for points of different series."""

    code = "mixed-series"


def fit(points: Sequence[Point]) -> Fit:
    """Returns the least-squares line through the points of one series.

    Raises:
        MixedSeriesError: The points belong to different series.
        UnfittableError: There are fewer than two distinct x values.
    """
    if len({point.series for point in points}) > 1:
        raise MixedSeriesError("a fit needs points of one series only")
    if len({point.x for point in points}) < _MIN_DISTINCT_X:
        raise UnfittableError("a fit needs points at two or more distinct x")
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
    """Returns the line of each series with at least two distinct x values."""
    groups: dict[Series, list[Point]] = {}
    for point in points:
        groups.setdefault(point.series, []).append(point)
    return [
        fit(group)
        for group in groups.values()
        if len({point.x for point in group}) >= _MIN_DISTINCT_X
    ]
