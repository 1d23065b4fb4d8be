"""The command `rules history`."""

from __future__ import annotations

import datetime
from typing import Annotated

import typer

from marigoldgap import clock
from marigoldgap.console import async_runner
from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.operators import client


@registry.command
class RulesHistoryCommand:
    """Shows the latest changes of rules and keys."""

    def register(self, application: typer.Typer) -> None:
        """Adds `rules history` to the application."""
        groups.get_or_add(application, "rules").command("history")(self.run)

    def run(
        self,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        limit: Annotated[
            int, typer.Option(min=1, max=500, help="Versions to show.")
        ] = 20,
        as_json: options.AsJson = False,
    ) -> None:
        """Show who changed which lines and keys, the newest first."""
        operators = options.operators_client(instances, key_file)
        async_runner.run(operators, self._show(operators, limit, as_json))

    async def _show(
        self, operators: client.OperatorsClient, limit: int, as_json: bool
    ) -> None:
        history = await operators.history(limit)
        if as_json:
            output.print_json(history)
            return
        for item in history["versions"]:
            output.print_lines(
                [
                    f"version {item['version']}, "
                    f"{_format_time(item['applied_at_ms'])}, "
                    f"by {item['author']}",
                    *(f"  {line}" for line in item["changes"]),
                ]
            )


def _format_time(wall_ms: int) -> str:
    """Formats a wall clock time in milliseconds in the local time zone."""
    seconds = wall_ms / clock.MILLISECONDS_PER_SECOND
    local_time = datetime.datetime.fromtimestamp(seconds).astimezone()
    return local_time.isoformat(sep=" ", timespec="seconds")
