"""The command `status`."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Annotated
from typing import Any

import rich.live
import rich.table
import typer

from marigoldgap.console import async_runner
from marigoldgap.console import exit_codes
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.operators import client

# Fields of an answer that are shown, with their column titles. A table of all
# fields would be too wide.
_COLUMNS = {
    "instance_id": "instance",
    "zone": "zone",
    "config_version": "config",
    "ready": "ready",
    "draining": "draining",
    "coordinator": "coordinator",
    "workers_owned": "workers",
    "free": "free slots",
    "running": "running",
    "waiting": "waiting",
}


@registry.command
class StatusCommand:
    """Shows the state of instances."""

    def register(self, application: typer.Typer) -> None:
        """Adds `status` to the application."""
        application.command("status")(self.run)

    def run(
        self,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        watch: Annotated[
            bool, typer.Option(help="Show it again until interrupted.")
        ] = False,
        interval_s: Annotated[
            float, typer.Option("--interval", min=0.2, help="In seconds.")
        ] = 1.0,
        as_json: options.AsJson = False,
    ) -> None:
        """Show the state of every given instance."""
        operators = options.operators_client(instances, key_file)
        if watch:
            async_runner.run(
                operators, self._watch(operators, interval_s, as_json)
            )
            return
        answers = async_runner.run(operators, self._once(operators))
        _show(answers, as_json)
        if any(each.error for each in answers):
            raise typer.Exit(exit_codes.FAILURE)

    async def _once(
        self, operators: client.OperatorsClient
    ) -> Sequence[client.InstanceAnswer]:
        with output.progress("asking the instances"):
            return await operators.instance_statuses()

    async def _watch(
        self,
        operators: client.OperatorsClient,
        interval_s: float,
        as_json: bool,
    ) -> None:
        if as_json:
            while True:
                _show(await operators.instance_statuses(), as_json)
                await asyncio.sleep(interval_s)
        with rich.live.Live(
            console=output.console(), auto_refresh=False
        ) as view:
            while True:
                table = _table(await operators.instance_statuses())
                view.update(table, refresh=True)
                await asyncio.sleep(interval_s)


def _show(answers: Sequence[client.InstanceAnswer], as_json: bool) -> None:
    if as_json:
        output.print_json({"instances": [each._asdict() for each in answers]})
        return
    output.console().print(_table(answers))


def _table(answers: Sequence[client.InstanceAnswer]) -> rich.table.Table:
    """Returns a table with a row for each instance.

    It has the fields of `_COLUMNS`; the JSON output has all fields.
    """
    rows = [
        (
            each.address,
            *(_cell(each.answer or {}, name) for name in _COLUMNS),
            each.error or "reached",
        )
        for each in answers
    ]
    return output.make_table(("address", *_COLUMNS.values(), "result"), rows)


def _cell(answer: Mapping[str, Any], name: str) -> str:
    """Formats a field; numbers by team or service are summed."""
    value = answer.get(name, "")
    if name == "free":
        return str(sum(each["slots"] for each in (value or {}).values()))
    if isinstance(value, dict):
        return str(sum(value.values()))
    return str(value)
