"""Command line: runs the soak test for seeds and prints their results."""

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
        typer.Argument(help="Seeds to run (default: the regression seeds)."),
    ] = None,
    duration_s: Annotated[
        float, typer.Option(help="Seconds of load and faults.")
    ] = 20,
    logs: Annotated[
        pathlib.Path | None, typer.Option(help="Folder for the logs.")
    ] = None,
    instances: Annotated[
        int, typer.Option(min=1, help="Number of instances.")
    ] = worlds.DEFAULT_INSTANCES,
    early_reloads: Annotated[
        bool,
        typer.Option(
            help="Send SIGHUP also to processes whose interpreter is starting"
            " (fails, see KNOWN-RED.txt)."
        ),
    ] = True,
) -> None:
    """Run real instances under random faults, one seed after another."""
    seeds = seeds or sorted(soak.REGRESSION_SEEDS)
    failed = [
        seed
        for seed in seeds
        if not run_seed(seed, duration_s, logs, instances, early_reloads)
    ]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    raise typer.Exit(1 if failed else 0)


def run_seed(
    seed: int,
    duration_s: float,
    logs: pathlib.Path | None = None,
    instance_count: int = worlds.DEFAULT_INSTANCES,
    sends_early_reloads: bool = True,
) -> bool:
    """Runs one seed.

    Args:
        seed: Determines jobs and faults.
        duration_s: How long jobs are submitted and faults are started, in
            seconds.
        logs: Parent of the folder that keeps settings and logs; a temporary
            folder if None.
        instance_count: Number of instances.
        sends_early_reloads: Whether processes get SIGHUP while their
            interpreter starts.

    Returns:
        Whether the run ended without a violation.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary) if logs is None else logs / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        world = asyncio.run(
            _run(
                worlds.World(seed, folder, instance_count, sends_early_reloads),
                duration_s,
            )
        )
    print(
        f"seed {seed}: {len(world.callers.accepted)} accepted, "
        f"{len(world.callers.refused)} refused, "
        f"{len(world.callers.unknown)} unknown, "
        f"{len(world.injected_faults)} faults, "
        f"{world.hostile_client.crowds} hostile crowds, "
        f"{len(world.violations)} violations"
    )
    for violation in world.violations:
        print(f"  {violation}")
    return not world.violations


async def _run(world: worlds.World, duration_s: float) -> worlds.World:
    try:
        await world.run(duration_s)
    finally:
        world.stop()
        # Connections detect that they were closed before the loop closes.
        await asyncio.sleep(_CLOSE_S)
    return world


if __name__ == "__main__":
    typer.run(main)
