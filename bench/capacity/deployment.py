"""Runs a small deployment and measures its costs in time windows."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random
from typing import NamedTuple

from bench import caller
from bench import cluster
from bench import layouts
from bench import waiting
from bench.capacity import fitting
from bench.capacity import reading
from bench.capacity import registry

TEAMS = (
    layouts.Team("claims", 60, 400),
    layouts.Team("public", 10, 50),
)
_READY_TIMEOUT_S = 30.0
_SEED = 1


class Variable(NamedTuple):
    """The quantity that a sweep varies.

    Attributes:
        sweep: Name of the sweep.
        entry_unit: Unit of the value for one entry instance.
        total_unit: Unit of the value for the deployment.
    """

    sweep: str
    entry_unit: str
    total_unit: str


class Value(NamedTuple):
    """The actual value of a variable during a window."""

    per_entry: float
    total: float


Work = Callable[[float], Awaitable[Value]]


class Deployment:
    """A running deployment, whose first zone is measured.

    Args:
        target: The started cluster.
        scale: Length of windows and pauses.
    """

    def __init__(self, target: cluster.Cluster, scale: registry.Scale) -> None:
        self._scale = scale
        self.target = target
        self.caller = caller.Caller(target, random.Random(_SEED))
        self.zone = target.layout.zones[0]
        self.zone_ids = tuple(
            entry.instance_id
            for entry in target.wired.entries
            if entry.zone == self.zone
        )

    async def measure_window(
        self, variable: Variable, work: Work
    ) -> list[fitting.Point]:
        """Measures the costs of one window of work.

        Args:
            variable: The quantity that the work varies.
            work: Works for the given seconds; returns the actual value.
        """
        await asyncio.sleep(self._scale.settle_s)
        before = await reading.read(self.target, first=True)
        value = await work(self._scale.window_s)
        after = await reading.read(self.target, first=False)
        points = []
        for rate in reading.rates(before, after, self.zone_ids):
            is_total = rate.role == reading.DEPLOYMENT
            series = fitting.Series(
                variable.sweep,
                rate.measure,
                rate.role,
                variable.total_unit if is_total else variable.entry_unit,
                rate.unit,
            )
            x = value.total if is_total else value.per_entry
            points.append(fitting.Point(series, x, rate.value))
        return points

    async def wait_settled(self) -> None:
        """Waits until the zone has passed its barrier and owns all workers.

        Raises:
            ReadyError: The zone did not settle within the timeout.
        """

        async def is_settled() -> bool:
            seen = await reading.read(self.target, first=True)
            statuses = [seen.entries[name].status for name in self.zone_ids]
            owned = sum(status["workers_owned"] for status in statuses)
            passed = any(status["barrier_passed"] for status in statuses)
            return passed and owned == self.zone.workers

        await waiting.until(
            is_settled,
            _READY_TIMEOUT_S,
            f"zone {self.zone.name} did not pass its barrier and own all"
            f" {self.zone.workers} workers within {_READY_TIMEOUT_S:g} s",
        )


@contextlib.asynccontextmanager
async def run_deployment(
    zones: tuple[layouts.Zone, ...], scale: registry.Scale
) -> AsyncIterator[Deployment]:
    """Provides a started deployment and ends its processes afterwards."""
    names = "-".join(f"{zone.entries}x{zone.workers}" for zone in zones)
    directory = scale.directory / names
    number = 1
    while directory.exists():
        number += 1
        directory = scale.directory / f"{names}-{number}"
    directory.mkdir(parents=True)
    layout = layouts.QUETZAL._replace(name="capacity", zones=zones, teams=TEAMS)
    target = cluster.Cluster(layout, directory)
    try:
        await target.start()
        deployment = Deployment(target, scale)
        await deployment.wait_settled()
        yield deployment
    finally:
        # There is no verdict on the stops, so entry instances need no drain.
        for entry in target.wired.entries:
            with contextlib.suppress(KeyError):
                await target.kill_entry(entry)
        await target.close()


async def idle(seconds: float) -> None:
    """Waits for the length of a window without any work."""
    await asyncio.sleep(seconds)
