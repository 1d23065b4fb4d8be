"""Relative speeds of workers, from measured against expected run times.

Designed for 19,000 workers: a recorded run takes about a microsecond, and a
planning pass looks up only the workers that deviate from the others.
"""

from __future__ import annotations

import collections
import math

# The estimate is the median of this many runs: two slow ones show a slow worker,
# and one run that is slow by itself does not.
_RUNS = 3
# Standard deviation of the logarithms of the speeds of workers. The estimate is
# shrunk by the ratio of its variance to that of the runs, so that runs that are
# hardly predictable do not make their workers seem slow.
_SPREAD = 0.25
# Bound of a log ratio, a factor of 12: slower runs seem to hang instead.
_MAX_LOG = 2.5
# The median log ratio of this many runs on all workers is subtracted, so that a
# class of runs that has become slower does not make all workers seem slow. It
# follows such a change within 8 runs.
_COMMON_RUNS = 15
# Log ratio, a factor of about 1.25, below which a worker counts as usual.
_MIN_LOG = 0.22
# Half-life, in seconds, of the estimate after the latest run: a slow worker that
# gets no runs is tried again after some seconds.
_HALF_LIFE_S = 6.0
# Bound on the workers that are kept; about 200 bytes each.
_MAX_WORKERS = 20_000


class _Speed:
    """Log ratios and variances of the latest runs of one worker."""

    __slots__ = ("at_s", "born_ms", "residuals", "variance")

    def __init__(self, born_ms: int) -> None:
        self.born_ms = born_ms
        self.residuals: tuple[float, ...] = ()
        self.variance = 0.0
        self.at_s = 0.0


class WorkerSpeeds:
    """Learns how much slower each worker is than the others."""

    def __init__(self) -> None:
        # Ordered by the latest run, so that the first one is dropped.
        self._speeds: dict[str, _Speed] = {}
        # The workers among them that deviate from the others.
        self._deviating: dict[str, _Speed] = {}
        self._latest: collections.deque[float] = collections.deque(
            [0.0] * _COMMON_RUNS, maxlen=_COMMON_RUNS
        )
        self._common = 0.0

    def __len__(self) -> int:
        return len(self._speeds)

    def record(
        self,
        worker_id: str,
        born_ms: int,
        residual: float,
        deviation: float,
        now: float,
    ) -> None:
        """Records a finished run.

        Args:
            worker_id: The worker.
            born_ms: Wall time at which its process started; the next process
                may be as fast as others.
            residual: Logarithm of the measured time relative to the expected
                time on a usual worker.
            deviation: Standard deviation of such logarithms in its class.
            now: Current monotonic time in seconds.
        """
        residual = min(_MAX_LOG, max(-_MAX_LOG, residual))
        self._latest.append(residual)
        self._common = sorted(self._latest)[len(self._latest) // 2]
        speed = self._speeds.pop(worker_id, None)
        if speed is None or speed.born_ms != born_ms:
            speed = _Speed(born_ms)
            if len(self._speeds) >= _MAX_WORKERS:
                oldest = next(iter(self._speeds))
                del self._speeds[oldest]
                self._deviating.pop(oldest, None)
        self._speeds[worker_id] = speed
        speed.residuals = (*speed.residuals, residual)[-_RUNS:]
        count = len(speed.residuals)
        speed.variance += (deviation**2 - speed.variance) / count
        speed.at_s = now
        if abs(self._relative(speed)) >= _MIN_LOG:
            self._deviating[worker_id] = speed
        else:
            self._deviating.pop(worker_id, None)

    def slow_down(self, worker_id: str, born_ms: int, now: float) -> float:
        """Returns the factor on run times of a worker; 1 for a usual one.

        Args:
            worker_id: The worker.
            born_ms: Wall time at which its process started.
            now: Current monotonic time in seconds.
        """
        speed = self._deviating.get(worker_id)
        if speed is None or speed.born_ms != born_ms:
            return 1.0
        return self._factor(speed, now)

    def deviating(self, now: float) -> dict[tuple[str, int], float]:
        """Returns the factors of the workers that deviate from the others.

        The keys are the workers and the wall times at which their processes
        started.
        """
        factors = {}
        for worker_id, speed in self._deviating.items():
            factor = self._factor(speed, now)
            if factor != 1.0:
                factors[worker_id, speed.born_ms] = factor
        return factors

    def _factor(self, speed: _Speed, now: float) -> float:
        age_s = max(0.0, now - speed.at_s)
        estimate = self._relative(speed) * 0.5 ** (age_s / _HALF_LIFE_S)
        return math.exp(estimate) if abs(estimate) >= _MIN_LOG else 1.0

    def _relative(self, speed: _Speed) -> float:
        """Returns the log ratio; missing runs count as those of a usual worker."""
        missing = _RUNS - len(speed.residuals)
        values = sorted((*speed.residuals, *[self._common] * missing))
        ratio = _RUNS * _SPREAD**2
        share = ratio / (ratio + speed.variance)
        return share * (values[_RUNS // 2] - self._common)
