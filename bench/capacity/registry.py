"""Registries of deployment sweeps and of in-process measurements."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import pathlib
from typing import NamedTuple

from bench.capacity import fitting


class Scale(NamedTuple):
    """Extent of the measurements.

    Attributes:
        window_s: Length of each measurement of a deployment.
        settle_s: Pause between a change and its measurement.
        levels: Number of levels of each variable, at least two.
        directory: Directory for the files and logs of deployments.
        print_line: Called with a line at the begin of each phase.
    """

    window_s: float
    settle_s: float
    levels: int
    directory: pathlib.Path
    print_line: Callable[[str], None]

    def pick(self, values: tuple[int, ...]) -> tuple[int, ...]:
        """Returns `levels` of the values, with the first and the last one."""
        if self.levels >= len(values):
            return values
        return (*values[: self.levels - 1], values[-1])


Sweep = Callable[[Scale], Awaitable[list[fitting.Point]]]
Measurement = Callable[[Scale], Iterator[fitting.Point]]

_sweeps: list[Sweep] = []
_measurements: list[Measurement] = []


def sweep(function: Sweep) -> Sweep:
    """Registers a sweep, which measures one or more deployments in turn."""
    _sweeps.append(function)
    return function


def measurement(function: Measurement) -> Measurement:
    """Registers a measurement that runs in the process of the load tool."""
    _measurements.append(function)
    return function


def sweeps() -> tuple[Sweep, ...]:
    """Returns all sweeps in the order of their registration."""
    return tuple(_sweeps)


def measurements() -> tuple[Measurement, ...]:
    """Returns all measurements in the order of their registration."""
    return tuple(_measurements)
