"""The command `rules preview`."""

from __future__ import annotations

import pathlib
from typing import Any

import typer

from marigoldgap.console import async_runner
from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.console import rules_files
from marigoldgap.operators import client
from marigoldgap.operators import messages


@registry.command
class RulesPreviewCommand:
    """Shows the effects that a rules file would have."""

    def register(self, application: typer.Typer) -> None:
        """Adds `rules preview` to the application."""
        groups.get_or_add(application, "rules").command("preview")(self.run)

    def run(
        self,
        path: pathlib.Path,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        as_json: options.AsJson = False,
    ) -> None:
        """Say in plain sentences what a file would change, and for whom."""
        file = rules_files.read(path)
        operators = options.operators_client(instances, key_file)
        async_runner.run(operators, self._preview(operators, file, as_json))

    async def _preview(
        self,
        operators: client.OperatorsClient,
        file: rules_files.RulesFile,
        as_json: bool,
    ) -> None:
        result = await operators.preview_rules(file.text)
        if as_json:
            output.print_json(result)
            return
        output.print_lines([*result["changes"], "", *result["sentences"], ""])
        self._print_teams(result)
        output.print_lines(["Nothing was changed; 'rules apply' does it."])

    def _print_teams(self, result: messages.PreviewAnswer) -> None:
        output.print_table(
            (
                "team",
                "effect",
                "share",
                "limit",
                "may run now",
                "may run in a full cluster",
                "running",
                "above limit",
            ),
            [
                (
                    team["team"],
                    team["effect"],
                    _format_change(team, "share"),
                    _format_change(team, "limit"),
                    _format_change(team, "target"),
                    _format_change(team, "full"),
                    team["running"],
                    team["above_limit"],
                )
                for team in result["teams"]
            ],
        )


def _format_change(team: dict[str, Any], name: str) -> str:
    """Formats the value before and after, or one value if they are equal."""
    before, after = (
        "-" if team[key] is None else f"{round(team[key], 1):g}"
        for key in (f"{name}_before", f"{name}_after")
    )
    return after if before == after else f"{before} -> {after}"
