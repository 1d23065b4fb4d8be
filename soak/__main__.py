"""Runs seeds of the soak and prints what each of them found."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
from typing import Annotated

import typer

import soak
from soak import world as worlds

_CLOSE_S = 0.2


def main(
    seeds: Annotated[
        list[int] | None,
        typer.Argument(help="Seeds to run; without any, those that failed."),
    ] = None,
    duration_s: Annotated[float, typer.Option(help="Load and faults.")] = 20,
    logs: Annotated[
        pathlib.Path | None, typer.Option(help="Keep logs here.")
    ] = None,
) -> None:
    """Run real instances under random faults, one seed after the other."""
    seeds = seeds or sorted(soak.REGRESSION_SEEDS)
    failed = [seed for seed in seeds if not run_seed(seed, duration_s, logs)]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    raise typer.Exit(1 if failed else 0)


def run_seed(
    seed: int, duration_s: float, logs: pathlib.Path | None = None
) -> bool:
    """Runs one seed; returns whether every promise was kept."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary) if logs is None else logs / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        world = asyncio.run(_run(seed, duration_s, folder))
    print(
        f"seed {seed}: {len(world.callers.accepted)} accepted, "
        f"{len(world.callers.refused)} refused, "
        f"{len(world.callers.unknown)} unknown, "
        f"{len(world.applied)} faults, {len(world.violations)} violations"
    )
    for violation in world.violations:
        print(f"  {violation}")
    return not world.violations


async def _run(
    seed: int, duration_s: float, folder: pathlib.Path
) -> worlds.World:
    world = worlds.World(seed, folder)
    try:
        await world.run(duration_s)
    finally:
        world.stop()
        # Lets connections notice their end before the loop closes.
        await asyncio.sleep(_CLOSE_S)
    return world


if __name__ == "__main__":
    typer.run(main)
