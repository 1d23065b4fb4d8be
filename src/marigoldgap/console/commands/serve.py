"""The command `serve`."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import typer

from marigoldgap import logs
from marigoldgap.console import registry
from marigoldgap.settings import loader
from marigoldgap.settings import model as settings_model


@registry.command
class ServeCommand:
    """Runs an entry instance."""

    def register(self, application: typer.Typer) -> None:
        """Adds `serve` to the application."""
        application.command("serve")(self.run)

    def run(self, path: pathlib.Path) -> None:
        """Run an entry instance with a settings file until SIGTERM."""
        settings = loader.load(path)
        logs.configure(
            settings.instance_id, settings.logs.level, settings.logs.json_lines
        )
        asyncio.run(_serve(settings))


async def _serve(settings: settings_model.Settings) -> None:
    """Runs the instance; SIGTERM and SIGINT start its drain."""
    # The serving stack is imported here so that other commands start faster.
    from marigoldgap.serving import instance

    entry = instance.EntryInstance(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, entry.begin_drain)
    await entry.run()
