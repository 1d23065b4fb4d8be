"""Registries of sweeps of deployments and of measurements in process."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import pathlib
from typing import NamedTuple

from bench.capacity import fitting


class Scale(NamedTuple):
    """How much is measured.

    Attributes:
        window_s: Length of each measurement of a deployment.
        settle_s: Pause between a change and its measurement.
        levels: How many levels of each variable, at least two.
        directory: Where files and logs of deployments go.
        say: Gets a line for each phase.
    """

    window_s: float
    settle_s: float
    levels: int
    directory: pathlib.Path
    say: Callable[[str], None]

    def pick(self, values: tuple[int, ...]) -> tuple[int, ...]:
        """Returns as many of the values as wanted, with first and last."""
        if self.levels >= len(values):
            return values
        return (*values[: self.levels - 1], values[-1])


Sweep = Callable[[Scale], Awaitable[list[fitting.Point]]]
Measurement = Callable[[Scale], Iterator[fitting.Point]]

_sweeps: list[Sweep] = []
_measurements: list[Measurement] = []


def sweep(function: Sweep) -> Sweep:
    """Registers a sweep, which starts deployments one after the other."""
    _sweeps.append(function)
    return function


def measurement(function: Measurement) -> Measurement:
    """Registers a measurement within the process of the tool."""
    _measurements.append(function)
    return function


def sweeps() -> tuple[Sweep, ...]:
    """Returns all sweeps in the order of their registration."""
    return tuple(_sweeps)


def measurements() -> tuple[Measurement, ...]:
    """Returns all measurements in the order of their registration."""
    return tuple(_measurements)
