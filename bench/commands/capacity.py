"""The command `capacity`."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import time
from typing import Annotated

import typer

from bench import display
from bench import experiment
from bench import registry
from bench.capacity import fitting
from bench.capacity import load_sweeps
from bench.capacity import process_codec
from bench.capacity import process_listing
from bench.capacity import process_scheduling
from bench.capacity import registry as capacity_registry
from bench.capacity import tables
from bench.capacity import zone_sweeps

# The imports register measurements and sweeps in the order of the table.
_REGISTERED = (
    process_codec,
    process_scheduling,
    process_listing,
    load_sweeps,
    zone_sweeps,
)
_WINDOW_S = 5.0
_SETTLE_S = 1.5
_LEVELS = 4
_QUICK_WINDOW_S = 0.8
_QUICK_SETTLE_S = 0.2
_QUICK_LEVELS = 2


@registry.command
class CapacityCommand:
    """Measures how costs grow with load and size on this machine."""

    def register(self, application: typer.Typer) -> None:
        """Adds `capacity` to the application."""
        application.command("capacity")(self.run)

    def run(
        self,
        quick: bool = False,
        points_file: Annotated[
            pathlib.Path | None,
            typer.Option(help="Print the tables of an earlier run."),
        ] = None,
    ) -> None:
        """Measure costs with small deployments and print fitted lines."""
        if points_file is not None:
            _print_tables(tables.read_points(points_file))
            return
        name = f"{time.strftime('%Y%m%d-%H%M%S')}-capacity"
        directory = experiment.RUNS / name
        directory.mkdir(parents=True)
        shown = display.Display()
        scale = capacity_registry.Scale(
            _QUICK_WINDOW_S if quick else _WINDOW_S,
            _QUICK_SETTLE_S if quick else _SETTLE_S,
            _QUICK_LEVELS if quick else _LEVELS,
            directory,
            shown.print_line,
        )
        points = self._measure(scale)
        path = directory / "points.jsonl"
        tables.write_points(path, points)
        _print_tables(points)
        shown.print_line(f"points: {path}")

    def _measure(self, scale: capacity_registry.Scale) -> list[fitting.Point]:
        """Runs all measurements and sweeps and returns their points."""
        points: list[fitting.Point] = []
        for measurement in capacity_registry.measurements():
            scale.print_line(measurement.__name__.replace("_", " "))
            points += measurement(scale)
        for sweep in capacity_registry.sweeps():
            points += asyncio.run(_run_sweep(sweep, scale))
        return points


def _print_tables(points: list[fitting.Point]) -> None:
    """Prints the fits and the projected costs at full size."""
    fits = fitting.fit_all(points)
    tables.show(fits)
    tables.show_roles(fits)


async def _run_sweep(
    sweep: capacity_registry.Sweep, scale: capacity_registry.Scale
) -> list[fitting.Point]:
    """Runs a sweep; SIGTERM cancels it so that it cleans up, like SIGINT."""
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await sweep(scale)
