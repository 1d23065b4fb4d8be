"""The command `up`."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import tempfile

import typer

from bench import cluster
from bench import layouts
from bench import registry

_ENVIRONMENT_FILE = "environment"


@registry.command
class UpCommand:
    """Keeps a deployment running for trials of the operators' commands."""

    def register(self, application: typer.Typer) -> None:
        """Adds `up` to the application."""
        application.command("up")(self.run)

    def run(
        self, layout: str = layouts.SMALL.name, minutes: float = 30
    ) -> None:
        """Start a deployment, print how to reach it, stop it on Ctrl-C."""
        with tempfile.TemporaryDirectory() as name:
            directory = pathlib.Path(name)
            target = cluster.Cluster(layouts.find(layout), directory)
            asyncio.run(_run_until_stopped(target, directory, minutes * 60))


async def _run_until_stopped(
    target: cluster.Cluster, directory: pathlib.Path, seconds: float
) -> None:
    """Runs the deployment until a signal or the timeout."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    try:
        await target.start()
        file = directory / _ENVIRONMENT_FILE
        file.write_text(_environment_lines(target), encoding="utf-8")
        typer.echo("the deployment is ready; in another shell:")
        typer.echo(f"  source {file}")
        typer.echo("Ctrl-C here stops it")
        async with asyncio.timeout(seconds):
            await stopped.wait()
    except TimeoutError:
        typer.echo("the time is up")
    finally:
        await target.stop_entries()
        await target.close()


def _environment_lines(target: cluster.Cluster) -> str:
    """Returns shell commands that export the addresses and keys."""
    addresses = " ".join(entry.address for entry in target.wired.entries)
    first_key = next(iter(target.keys.values()))
    lines = (
        f'export MARIGOLDGAP_INSTANCES="{addresses}"',
        f'export MARIGOLDGAP_OPERATOR_KEY="{target.wired.operator_key}"',
        f'export MARIGOLDGAP_KEY="{first_key.key}"',
        f"export ENTRY={target.wired.entries[0].address}",
    )
    return "\n".join(lines) + "\n"
