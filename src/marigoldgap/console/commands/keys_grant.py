"""The command `keys grant`."""

from __future__ import annotations

import typer

from marigoldgap.console import async_runner
from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.operators import client


@registry.command
class KeysGrantCommand:
    """Grants a key."""

    def register(self, application: typer.Typer) -> None:
        """Adds `keys grant` to the application."""
        groups.get_or_add(application, "keys").command("grant")(self.run)

    def run(
        self,
        team: str,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        author: options.Author = None,
        as_json: options.AsJson = False,
    ) -> None:
        """Grant a new key to a team; it is shown only this once."""
        operators = options.operators_client(instances, key_file)
        name = options.author_name(author)
        async_runner.run(operators, self._grant(operators, team, name, as_json))

    async def _grant(
        self,
        operators: client.OperatorsClient,
        team: str,
        author: str,
        as_json: bool,
    ) -> None:
        granted = await operators.grant_key(team, author)
        if as_json:
            output.print_json(granted)
            return
        output.print_lines([granted["key"]])
        output.print_note(
            f"key {granted['key_id']} of team {team}, version "
            f"{granted['version']}; store it now, it is not shown again"
        )
