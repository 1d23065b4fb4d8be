"""Statsd client that never blocks and never raises."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
import re
from typing import Any
from typing import NamedTuple

import statsd

from marigoldgap import clock
from marigoldgap import logs
from marigoldgap.metrics import names
from marigoldgap.settings import model as settings_model

_log = logs.PartLogger("metrics")

_FLUSH_MS = 1_000
# Above this number, a random sample represents the timings of a flush.
_MAX_SAMPLES_PER_FLUSH = 100
# Bounds the memory when callers choose arbitrary suffixes.
_MAX_SERIES = 5_000
_DISALLOWED_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")


class _UdpClient(statsd.StatsClient):
    """Statsd client whose socket drops datagrams instead of blocking."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__(host=host, port=port, prefix=prefix)
        self._sock.setblocking(False)


class _Samples(NamedTuple):
    """Timings of one series since the last flush.

    Attributes:
        values: Kept samples in milliseconds.
        seen: One element: the number of all samples, kept or not.
    """

    values: list[float]
    seen: list[int]


class MetricsClient:
    """Aggregates metrics in memory and sends them once a second.

    Nothing is sent if the settings contain no address.

    Args:
        settings: Settings of this instance.
        random_source: Random generator that selects the samples of a timing.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        random_source: random.Random | None = None,
    ) -> None:
        self._client = _connect(settings)
        self._random_source = random_source or random.Random()
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, _Samples] = {}
        self._samplers: list[Callable[[], None]] = []

    def add_sampler(self, sample: Callable[[], None]) -> None:
        """Registers a function that sets gauges before each flush."""
        self._samplers.append(sample)

    def count(
        self, metric: names.Metric, amount: int = 1, suffix: str = ""
    ) -> None:
        """Increments a counter.

        Args:
            metric: The metric, one of `names`.
            amount: Amount to add.
            suffix: Last part of the name, e.g. a team or an error code.
        """
        series = _series(metric, suffix)
        if series in self._counts or len(self._counts) < _MAX_SERIES:
            self._counts[series] = self._counts.get(series, 0) + amount

    def gauge(
        self, metric: names.Metric, value: float, suffix: str = ""
    ) -> None:
        """Sets a gauge; a flush sends the last value."""
        series = _series(metric, suffix)
        if series in self._gauges or len(self._gauges) < _MAX_SERIES:
            self._gauges[series] = value

    def timing(
        self, metric: names.Metric, milliseconds: float, suffix: str = ""
    ) -> None:
        """Adds a sample of a timing in milliseconds."""
        series = _series(metric, suffix)
        if series not in self._timings:
            if len(self._timings) >= _MAX_SERIES:
                return
            self._timings[series] = _Samples([], [0])
        samples = self._timings[series]
        samples.seen[0] += 1
        if len(samples.values) < _MAX_SAMPLES_PER_FLUSH:
            samples.values.append(milliseconds)
            return
        # Reservoir sampling: each sample is kept with the same probability.
        index = self._random_source.randrange(samples.seen[0])
        if index < _MAX_SAMPLES_PER_FLUSH:
            samples.values[index] = milliseconds

    async def run(self) -> None:
        """Flushes the metrics once a second until it is cancelled."""
        while True:
            start_ms = clock.monotonic_ms()
            await asyncio.sleep(_FLUSH_MS / clock.MILLISECONDS_PER_SECOND)
            delay_ms = clock.monotonic_ms() - start_ms - _FLUSH_MS
            self.timing(names.LOOP_DELAY, max(0, delay_ms))
            self.sample()
            self.flush()

    def sample(self) -> None:
        """Calls all samplers; a failure of one does not affect the others."""
        for sample in self._samplers:
            try:
                sample()
            except Exception as error:
                _log.warning("A metrics sampler failed: %s", error)

    def flush(self) -> None:
        """Sends the metrics that were aggregated since the last flush."""
        counts, self._counts = self._counts, {}
        gauges, self._gauges = self._gauges, {}
        timings, self._timings = self._timings, {}
        if self._client is None:
            return
        try:
            with self._client.pipeline() as pipe:
                _add_series(pipe, counts, gauges, timings)
        except Exception as error:
            # Failures of metrics must not interrupt the measured work.
            _log.debug("Sending metrics to statsd failed: %s", error)

    def close(self) -> None:
        """Flushes the remaining metrics and closes the socket."""
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None


def _connect(settings: settings_model.Settings) -> _UdpClient | None:
    address = settings.metrics.address
    if address is None:
        return None
    host, _, port = address.partition(":")
    prefix = f"{settings.metrics.prefix}.{_name_part(settings.instance_id)}"
    return _UdpClient(host, int(port), prefix)


def _add_series(
    pipe: Any,
    counts: dict[str, int],
    gauges: dict[str, float],
    timings: dict[str, _Samples],
) -> None:
    """Adds all series to a statsd pipeline."""
    for series, amount in counts.items():
        pipe.incr(series, amount)
    for series, value in gauges.items():
        pipe.gauge(series, value)
    for series, samples in timings.items():
        for value in samples.values:
            pipe.timing(series, value)


def _series(metric: names.Metric, suffix: str) -> str:
    return f"{metric.name}.{_name_part(suffix)}" if suffix else metric.name


def _name_part(text: str) -> str:
    """Returns a text as one part of a name; a dot would add a level."""
    return _DISALLOWED_CHARACTERS.sub("_", text)
