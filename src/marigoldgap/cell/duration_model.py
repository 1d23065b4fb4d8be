"""Model of the run times of one class of runs, fitted to finished runs.

Linear regression of the measured time on the declared time, both as logarithms,
with exponential forgetting. The slope is the weight of the declaration: about 0
if declarations carry no information, about 1 if they are proportional to the
measured times. Designed for some thousand classes and some hundred finished
runs per second; a recorded run takes about 10 microseconds.
"""

from __future__ import annotations

import math
import statistics
from typing import Any
from typing import NamedTuple

# Standard deviation of the log ratio of measured to declared time that is assumed
# without runs. With it, the quantile 0.85 is 1.5 times the declared time, the
# margin that reservations have always had on declared times.
PRIOR_DEVIATION = 0.391
# Weight, in runs, of the more general estimate, and the factor by which each run
# reduces it: it counts little after 20 runs, also in a class far from its queue.
_PRIOR_WEIGHT = 3.0
_PRIOR_DECAY = 0.88
# Factor on the weight of earlier runs for each new one: 33 runs count in effect.
_FORGETTING = 0.97
# Standard deviation of the slope that is assumed around that of the prior.
_SLOPE_DEVIATION = 0.5
# Bounds of the slope; a negative one is always chance.
_MIN_SLOPE, _MAX_SLOPE = 0.0, 1.5
# Smallest standard deviation: times are measured with the listings of workers,
# so even equal runs differ by some percent.
_MIN_DEVIATION = 0.05
# Residuals beyond this many standard deviations count as this many, so that one
# run that hangs does not move the estimate. The first runs count in full.
_MAX_RESIDUAL = 2.5
_UNBOUNDED_RUNS = 4
# The same for the variance, which must show a heavy tail to some degree.
_MAX_SPREAD = 4.0
# A shift of the class is assumed when residuals of one sign, reduced by the
# drift, add up to the limit, both in standard deviations (cumulative sum test).
# Residuals without a shift reach it about once in 1,000 runs.
_SHIFT_DRIFT = 0.5
_SHIFT_LIMIT = 6.0
# The size of a shift is the median of the residuals since it began, at most this
# many; the median ignores a heavy tail.
_MAX_SHIFT_RUNS = 16
# A smaller shift, in standard deviations, is left to the forgetting.
_MIN_SHIFT = 0.5
# Bounds of logarithms of times in seconds: 0.1 ms to 12 days.
_MIN_LOG, _MAX_LOG = math.log(1e-4), math.log(1e6)
_MAX_LOG_SPAN = _MAX_LOG - _MIN_LOG
# A fit is replaced only if it changes the estimate by more than this (log
# ratio), so that values computed from it stay valid for some runs.
_MIN_CHANGE = 0.03
_STANDARD_NORMAL = statistics.NormalDist()


class InvalidStateError(ValueError):
    """The encoded state of a model is invalid."""


def log_s(seconds: float) -> float:
    """Returns the logarithm of a time, within the bounds of the model."""
    if seconds <= 0:
        return _MIN_LOG
    return min(_MAX_LOG, max(_MIN_LOG, math.log(seconds)))


class Fit(NamedTuple):
    """Fitted line: log time = level + slope x (log declared - center).

    Attributes:
        center: Mean logarithm of the declared times.
        level: Expected logarithm of the measured time at the center.
        slope: Weight of the declared time.
        deviation: Standard deviation of the residuals.
        runs: Number of recorded runs, for explanations.
    """

    center: float
    level: float
    slope: float
    deviation: float
    runs: int

    def expected_log(self, declared_log: float) -> float:
        """Returns the median logarithm of the time."""
        return self.level + self.slope * (declared_log - self.center)

    def expected_s(self, declared_log: float) -> float:
        """Returns the median time in seconds."""
        return math.exp(
            min(_MAX_LOG, max(_MIN_LOG, self.expected_log(declared_log)))
        )

    def quantile_s(self, declared_log: float, share: float) -> float:
        """Returns the time within which a share of the runs ends, in seconds.

        Args:
            declared_log: Logarithm of the declared time.
            share: Share of the runs, above 0 and below 1.
        """
        factor = deviations(share) * self.deviation
        return self.expected_s(declared_log) * math.exp(factor)


# Fit of a queue without runs: the declared time.
DECLARED = Fit(0.0, 0.0, 1.0, PRIOR_DEVIATION, 0)


def deviations(share: float) -> float:
    """Returns a quantile of the standard normal distribution."""
    return _STANDARD_NORMAL.inv_cdf(share)


class DurationModel:
    """Run times of one class, as a function of the declared time."""

    __slots__ = (
        "_covariance",
        "_mean_declared",
        "_mean_measured",
        "_prior_weight",
        "_residuals",
        "_shift_down",
        "_shift_up",
        "_spread",
        "_variance",
        "_weight",
        "fit",
        "run_count",
    )

    def __init__(self, prior: Fit) -> None:
        self.fit = prior._replace(runs=0)
        self.run_count = 0
        self._weight = 0.0
        self._prior_weight = _PRIOR_WEIGHT
        self._mean_declared = 0.0
        self._mean_measured = 0.0
        # Weighted sums of squares and products around the means.
        self._variance = 0.0
        self._covariance = 0.0
        # Weighted sum of the squared residuals of predictions.
        self._spread = 0.0
        # Cumulative sums of the test for a shift, and the latest residuals
        # since both of them were last 0.
        self._shift_up = 0.0
        self._shift_down = 0.0
        self._residuals: list[float] = []

    @property
    def weight(self) -> float:
        """Weight of the recorded runs, in runs."""
        return self._weight

    def record(
        self, declared_log: float, measured_log: float, prior: Fit
    ) -> None:
        """Records a finished run.

        Args:
            declared_log: Logarithm of its declared time.
            measured_log: Logarithm of its measured time.
            prior: Current fit of a more general class.
        """
        current = self._estimate(prior) if self.run_count else prior
        residual = measured_log - current.expected_log(declared_log)
        bounded = residual
        if self._weight >= _UNBOUNDED_RUNS:
            limit = _MAX_RESIDUAL * current.deviation
            bounded = min(limit, max(-limit, residual))
        self.run_count += 1
        self._prior_weight *= _PRIOR_DECAY
        self._add(declared_log, measured_log - residual + bounded)
        limit = _MAX_SPREAD * current.deviation
        counted = min(limit, max(-limit, residual))
        self._spread = _FORGETTING * self._spread + counted * counted
        self._detect_shift(residual, current)
        fit = self._estimate(prior)
        if self._differs(fit):
            self.fit = fit

    def _add(self, declared_log: float, measured_log: float) -> None:
        self._weight = _FORGETTING * self._weight + 1
        distance = declared_log - self._mean_declared
        self._mean_declared += distance / self._weight
        self._mean_measured += (
            measured_log - self._mean_measured
        ) / self._weight
        self._variance = _FORGETTING * self._variance + distance * (
            declared_log - self._mean_declared
        )
        self._covariance = _FORGETTING * self._covariance + distance * (
            measured_log - self._mean_measured
        )

    def _detect_shift(self, residual: float, current: Fit) -> None:
        """Moves the level at once if the class has changed suddenly."""
        deviation = current.deviation
        scaled = min(_MAX_RESIDUAL, max(-_MAX_RESIDUAL, residual / deviation))
        self._shift_up = max(0.0, self._shift_up + scaled - _SHIFT_DRIFT)
        self._shift_down = max(0.0, self._shift_down - scaled - _SHIFT_DRIFT)
        if not self._shift_up and not self._shift_down:
            self._residuals.clear()
            return
        self._residuals.append(residual)
        del self._residuals[:-_MAX_SHIFT_RUNS]
        if max(self._shift_up, self._shift_down) < _SHIFT_LIMIT:
            return
        # Residuals before the first of the sign belong to the former level.
        sign = 1 if self._shift_up > self._shift_down else -1
        while len(self._residuals) > 1 and sign * self._residuals[0] <= 0:
            del self._residuals[0]
        shift = statistics.median(self._residuals)
        if abs(shift) >= _MIN_SHIFT * deviation:
            kept = min(self._weight, len(self._residuals))
            # The mean already contains a part of the shift.
            self._mean_measured = (
                current.expected_log(self._mean_declared) + shift
            )
            self._covariance *= kept / self._weight
            self._variance *= kept / self._weight
            self._spread = kept * deviation * deviation
            self._weight = kept
            self._prior_weight = 0.0
        self._shift_up = self._shift_down = 0.0
        self._residuals.clear()

    def _estimate(self, prior: Fit) -> Fit:
        """Returns the fit, shrunk towards that of a more general class."""
        total = self._weight + self._prior_weight
        variance = max(
            _MIN_DEVIATION**2,
            (
                self._spread
                + self._prior_weight * prior.deviation * prior.deviation
            )
            / total,
        )
        # The level is uncertain as well while there are few runs.
        deviation = max(_MIN_DEVIATION, math.sqrt(variance * (1 + 1 / total)))
        pull = variance / _SLOPE_DEVIATION**2
        slope = (self._covariance + pull * prior.slope) / (
            self._variance + pull
        )
        center = self._mean_declared
        level = (
            self._weight * self._mean_measured
            + self._prior_weight * prior.expected_log(center)
        ) / total
        return Fit(
            center,
            level,
            min(_MAX_SLOPE, max(_MIN_SLOPE, slope)),
            deviation,
            self.run_count,
        )

    def _differs(self, fit: Fit) -> bool:
        """Returns whether a fit differs noticeably from the current one."""
        former = self.fit
        return (
            not former.runs
            or abs(fit.level - former.expected_log(fit.center)) > _MIN_CHANGE
            or abs(fit.slope - former.slope) > _MIN_CHANGE
            or abs(fit.deviation - former.deviation) > _MIN_CHANGE
        )

    def encode(self) -> list[float]:
        """Returns the stored form; the test for a shift starts anew."""
        return [
            self.run_count,
            *(
                float(f"{value:.5g}")
                for value in (
                    self._weight,
                    self._prior_weight,
                    self._mean_declared,
                    self._mean_measured,
                    self._variance,
                    self._covariance,
                    self._spread,
                )
            ),
        ]

    @classmethod
    def decode(cls, values: Any, prior: Fit) -> DurationModel:
        """Returns the model with a stored form.

        Args:
            values: The stored form.
            prior: Fit of a more general class.

        Raises:
            InvalidStateError: The stored form is invalid.
        """
        if not isinstance(values, list) or len(values) != 8:
            raise InvalidStateError("not a list of 8 numbers")
        for value in values:
            if type(value) not in (int, float) or not abs(value) < 1e9:
                raise InvalidStateError(f"not a bounded number: {value!r}")
        model = cls(prior)
        (
            model.run_count,
            model._weight,
            model._prior_weight,
            model._mean_declared,
            model._mean_measured,
            model._variance,
            model._covariance,
            model._spread,
        ) = (int(values[0]), *map(float, values[1:]))
        if (
            model.run_count < 1
            or not 1 <= model._weight <= 1 / (1 - _FORGETTING)
            or not 0 <= model._prior_weight <= _PRIOR_WEIGHT
            or not _MIN_LOG <= model._mean_declared <= _MAX_LOG
            or not _MIN_LOG <= model._mean_measured <= _MAX_LOG
            or not 0 <= model._variance <= model._weight * _MAX_LOG_SPAN**2
            or not 0 <= model._spread <= model._weight * _MAX_LOG_SPAN**2
        ):
            raise InvalidStateError("a weight or variance is out of range")
        model.fit = model._estimate(prior)
        return model
