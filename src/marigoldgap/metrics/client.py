"""Sends metrics to statsd; never blocks and never raises."""

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
# More samples of one timing in a flush are represented by a random choice.
_SAMPLES_PER_FLUSH = 100
# Bounds the memory if callers make up suffixes.
_MAX_SERIES = 5_000
_NOT_ALLOWED = re.compile(r"[^A-Za-z0-9_-]")


class _UdpClient(statsd.StatsClient):
    """The statsd client with a socket that drops instead of blocking."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__(host=host, port=port, prefix=prefix)
        self._sock.setblocking(False)


class _Samples(NamedTuple):
    """Timings of one series since the last flush."""

    values: list[float]
    seen: list[int]


class MetricsClient:
    """Adds up metrics in memory and sends them once a second.

    Without an address in the settings nothing is sent.

    Args:
        settings: Settings of this instance.
        source: Chooses the samples that represent a timing.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        source: random.Random | None = None,
    ) -> None:
        self._client = _connect(settings)
        self._source = source or random.Random()
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, _Samples] = {}
        self._samplers: list[Callable[[], None]] = []

    def add_sampler(self, sample: Callable[[], None]) -> None:
        """Calls a function before each flush, which sets gauges."""
        self._samplers.append(sample)

    def count(
        self, metric: names.Metric, amount: int = 1, suffix: str = ""
    ) -> None:
        """Adds to a counter.

        Args:
            metric: One of the names.
            amount: What to add.
            suffix: Further part of the name, e.g. a team or an error code.
        """
        series = _series(metric, suffix)
        if series in self._counts or len(self._counts) < _MAX_SERIES:
            self._counts[series] = self._counts.get(series, 0) + amount

    def gauge(
        self, metric: names.Metric, value: float, suffix: str = ""
    ) -> None:
        """Sets a gauge; the last value before a flush is sent."""
        series = _series(metric, suffix)
        if series in self._gauges or len(self._gauges) < _MAX_SERIES:
            self._gauges[series] = value

    def timing(
        self, metric: names.Metric, milliseconds: float, suffix: str = ""
    ) -> None:
        """Adds a sample of a timing."""
        series = _series(metric, suffix)
        if series not in self._timings:
            if len(self._timings) >= _MAX_SERIES:
                return
            self._timings[series] = _Samples([], [0])
        samples = self._timings[series]
        samples.seen[0] += 1
        if len(samples.values) < _SAMPLES_PER_FLUSH:
            samples.values.append(milliseconds)
            return
        # Reservoir sampling: each sample is kept with the same probability.
        place = self._source.randrange(samples.seen[0])
        if place < _SAMPLES_PER_FLUSH:
            samples.values[place] = milliseconds

    async def run(self) -> None:
        """Sends the metrics once a second until it is cancelled."""
        while True:
            start_ms = clock.monotonic_ms()
            await asyncio.sleep(_FLUSH_MS / clock.MILLISECONDS_PER_SECOND)
            late_ms = clock.monotonic_ms() - start_ms - _FLUSH_MS
            self.timing(names.LOOP_DELAY, max(0, late_ms))
            self.sample()
            self.flush()

    def sample(self) -> None:
        """Calls the samplers; a fault of one does not stop the others."""
        for sample in self._samplers:
            try:
                sample()
            except Exception as error:
                _log.warning("A metrics sampler failed: %s", error)

    def flush(self) -> None:
        """Sends what was added up since the last flush."""
        counts, self._counts = self._counts, {}
        gauges, self._gauges = self._gauges, {}
        timings, self._timings = self._timings, {}
        if self._client is None:
            return
        try:
            with self._client.pipeline() as pipe:
                _fill(pipe, counts, gauges, timings)
        except Exception as error:
            # Metrics must never stop the work that they measure.
            _log.debug("Metrics were not sent: %s", error)

    def close(self) -> None:
        """Sends the rest and closes the socket."""
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None


def _connect(settings: settings_model.Settings) -> _UdpClient | None:
    address = settings.metrics.address
    if address is None:
        return None
    host, _, port = address.partition(":")
    prefix = f"{settings.metrics.prefix}.{_part(settings.instance_id)}"
    return _UdpClient(host, int(port), prefix)


def _fill(
    pipe: Any,
    counts: dict[str, int],
    gauges: dict[str, float],
    timings: dict[str, _Samples],
) -> None:
    """Adds all series to a pipeline."""
    for series, amount in counts.items():
        pipe.incr(series, amount)
    for series, value in gauges.items():
        pipe.gauge(series, value)
    for series, samples in timings.items():
        for value in samples.values:
            pipe.timing(series, value)


def _series(metric: names.Metric, suffix: str) -> str:
    return f"{metric.name}.{_part(suffix)}" if suffix else metric.name


def _part(text: str) -> str:
    """Returns a text as one part of a name; dots would add a level."""
    return _NOT_ALLOWED.sub("_", text)
