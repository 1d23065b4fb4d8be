"""The command `rules apply`."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from marigoldgap import errors
from marigoldgap.console import async_runner
from marigoldgap.console import groups
from marigoldgap.console import in_force
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.console import rules_files
from marigoldgap.operators import client
from marigoldgap.operators import messages


@registry.command
class RulesApplyCommand:
    """Applies a rules file."""

    def register(self, application: typer.Typer) -> None:
        """Adds `rules apply` to the application."""
        groups.get_or_add(application, "rules").command("apply")(self.run)

    def run(
        self,
        path: pathlib.Path,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        base: Annotated[
            int | None,
            typer.Option(
                min=0,
                help="Version that the file was made from; by default from "
                "the file's last line, which 'rules show' writes.",
            ),
        ] = None,
        author: options.Author = None,
        wait_s: options.WaitSeconds = options.DEFAULT_WAIT_S,
        as_json: options.AsJson = False,
    ) -> None:
        """Apply a rules file and report in which zones it is in force."""
        file = rules_files.read(path)
        base_version = file.base_version if base is None else base
        if base_version is None:
            raise typer.BadParameter(
                f"{path} does not say which version it was made from; get the "
                f"rules with 'rules show --output FILE', or give --base"
            )
        operators = options.operators_client(instances, key_file)
        name = options.author_name(author)
        zones = async_runner.run(
            operators,
            self._apply(operators, file, base_version, name, wait_s, as_json),
        )
        in_force.exit_if_unconfirmed(zones)

    async def _apply(
        self,
        operators: client.OperatorsClient,
        file: rules_files.RulesFile,
        base_version: int,
        author: str,
        wait_s: float,
        as_json: bool,
    ) -> messages.Zones:
        result = await operators.apply_rules(base_version, file.text, author)
        version = result["version"]
        _update_base(file, version)

        async def fetch() -> messages.Zones:
            return await operators.version_in_force(version)

        zones = await in_force.wait_for_zones(result["zones"], fetch, wait_s)
        if as_json:
            output.print_json({**result, "zones": zones})
            return zones
        outcome = "applied as" if result["changed"] else "already in force in"
        output.print_lines([f"{file.path}: {outcome} version {version}"])
        in_force.print_zones(zones)
        return zones


def _update_base(file: rules_files.RulesFile, version: int) -> None:
    """Writes the applied version to the file as its new base version.

    A file without a base version, or one that was edited in the meantime, is
    not changed.
    """
    if file.base_version is None:
        return
    try:
        if rules_files.read(file.path) != file:
            output.print_note(
                f"{file.path} was edited meanwhile and is left as it is"
            )
            return
        rules_files.write(file.path, version, file.text)
    except errors.InvalidRequestError as error:
        output.print_note(f"{error.detail}; use --base {version} next time")
