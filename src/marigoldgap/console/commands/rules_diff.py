"""The command `rules diff`."""

from __future__ import annotations

import pathlib

import typer

from marigoldgap.console import async_runner
from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.console import rules_files
from marigoldgap.operators import client
from marigoldgap.rules import difference


@registry.command
class RulesDiffCommand:
    """Compares a file with the rules in force."""

    def register(self, application: typer.Typer) -> None:
        """Adds `rules diff` to the application."""
        groups.get_or_add(application, "rules").command("diff")(self.run)

    def run(
        self,
        path: pathlib.Path,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        as_json: options.AsJson = False,
    ) -> None:
        """Show the lines in which a file differs from the rules in force."""
        file = rules_files.read(path)
        operators = options.operators_client(instances, key_file)
        async_runner.run(operators, self._compare(operators, file, as_json))

    async def _compare(
        self,
        operators: client.OperatorsClient,
        file: rules_files.RulesFile,
        as_json: bool,
    ) -> None:
        rules = await operators.rules()
        changes = difference.compare(rules["text"], file.text)
        if as_json:
            values = [change._asdict() for change in changes]
            output.print_json({"version": rules["version"], "changes": values})
        elif changes:
            output.print_lines(difference.format_changes(changes))
        else:
            output.print_lines([f"no difference to version {rules['version']}"])
