"""Sweeps the entry instances of a zone and the workers of each of them."""

from __future__ import annotations

from bench import layouts
from bench.capacity import deployment
from bench.capacity import fitting
from bench.capacity import registry

_ENTRIES = (2, 4, 6)
_WORKERS = (8, 32, 64)

ENTRIES = deployment.Variable(
    "entries in a zone", "peers in the zone", "entries"
)
WORKERS = deployment.Variable(
    "workers of an entry", "workers of the entry", "workers"
)


@registry.sweep
async def sweep_entries(scale: registry.Scale) -> list[fitting.Point]:
    """Varies the entry instances of a zone without workers.

    Rendezvous hashing would assign a different number of workers to each entry
    instance, so that the fit would mix the costs of peers and of workers.
    """
    points: list[fitting.Point] = []
    for entries in _ENTRIES[: scale.levels]:
        scale.print_line(f"{entries} entry instances in a zone")
        value = deployment.Value(entries - 1, entries)
        points += await _measure(scale, ENTRIES, (entries, 0), value)
    return points


@registry.sweep
async def sweep_workers(scale: registry.Scale) -> list[fitting.Point]:
    """Varies the workers of a single entry instance."""
    points: list[fitting.Point] = []
    for workers in _WORKERS[: scale.levels]:
        scale.print_line(f"{workers} workers of one entry instance")
        value = deployment.Value(workers, workers)
        points += await _measure(scale, WORKERS, (1, workers), value)
    return points


async def _measure(
    scale: registry.Scale,
    variable: deployment.Variable,
    size: tuple[int, int],
    value: deployment.Value,
) -> list[fitting.Point]:
    """Measures one window of an idle zone with a size."""
    zone = layouts.Zone("centro-a", "centro", *size)

    async def work(seconds: float) -> deployment.Value:
        await deployment.idle(seconds)
        return value

    async with deployment.run_deployment((zone,), scale) as running:
        return await running.measure_window(variable, work)
