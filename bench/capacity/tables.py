"""Prints tables of fits and costs; stores points as JSON lines."""

from __future__ import annotations

from collections.abc import Iterable
import json
import pathlib

import rich.console
import rich.table

from bench.capacity import fitting
from bench.capacity import roles

_WIDTH = 160


def write_points(path: pathlib.Path, points: Iterable[fitting.Point]) -> None:
    """Writes one JSON object for each point."""
    with path.open("w", encoding="utf-8") as file:
        for point in points:
            fields = {**point.series._asdict(), "x": point.x, "y": point.y}
            file.write(json.dumps(fields) + "\n")


def read_points(path: pathlib.Path) -> list[fitting.Point]:
    """Returns the points of a file that write_points wrote."""
    points = []
    for line in path.read_text(encoding="utf-8").splitlines():
        fields = json.loads(line)
        x, y = fields.pop("x"), fields.pop("y")
        points.append(fitting.Point(fitting.Series(**fields), x, y))
    return points


def show(fits: Iterable[fitting.Fit]) -> None:
    """Prints a table with one row for each fit."""
    table = rich.table.Table(
        "sweep", "measure", "role", "slope", "intercept", "residual rms"
    )
    for fit in fits:
        series = fit.series
        table.add_row(
            series.sweep,
            series.measure,
            series.role,
            f"{fit.slope:.4g} {series.y_unit} per {series.x_unit}",
            f"{fit.intercept:.4g} {series.y_unit}",
            f"{fit.rms:.2g} ({len(fit.residuals)} points)",
        )
    rich.console.Console(width=_WIDTH).print(table)


def show_roles(fits: Iterable[fitting.Fit]) -> None:
    """Prints a table of the projected costs at the target size."""
    projected = roles.Roles(fits)
    needed = projected.entries_needed()
    entries, least = projected.least_control()
    console = rich.console.Console(width=_WIDTH)
    console.print(
        f"entry instances in a zone: {needed} carry the peak;"
        f" least control at {entries}, {least:.1f} ms/s"
    )
    table = rich.table.Table(
        "role", "cost", "mechanism", "arithmetic", "value", "meets the limit"
    )
    for line in projected.lines(entries):
        table.add_row(
            line.role,
            line.name,
            line.mechanism,
            line.cost.arithmetic,
            f"{line.cost.value:,.4g} {line.cost.unit}",
            line.verdict,
        )
    console.print(table)
