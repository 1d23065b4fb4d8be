"""The command `rules show`."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from marigoldgap.console import async_runner
from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.console import rules_files
from marigoldgap.operators import client


@registry.command
class RulesShowCommand:
    """Shows the rules in force."""

    def register(self, application: typer.Typer) -> None:
        """Adds `rules show` to the application."""
        groups.get_or_add(application, "rules").command("show")(self.run)

    def run(
        self,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        path: Annotated[
            pathlib.Path | None,
            typer.Option("--output", help="File to write to."),
        ] = None,
        as_json: options.AsJson = False,
    ) -> None:
        """Print the rules in force, ready to be edited and applied."""
        operators = options.operators_client(instances, key_file)
        async_runner.run(operators, self._show(operators, path, as_json))

    async def _show(
        self,
        operators: client.OperatorsClient,
        path: pathlib.Path | None,
        as_json: bool,
    ) -> None:
        rules = await operators.rules()
        if path is not None:
            rules_files.write(path, rules["version"], rules["text"])
            output.print_note(f"{path}: rules of version {rules['version']}")
        elif as_json:
            output.print_json(rules)
        else:
            content = rules_files.content_of(rules["version"], rules["text"])
            typer.echo(content, nl=False)
