"""The command `keys list`."""

from __future__ import annotations

import typer

from marigoldgap.console import async_runner
from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.operators import client


@registry.command
class KeysListCommand:
    """Lists the granted keys."""

    def register(self, application: typer.Typer) -> None:
        """Adds `keys list` to the application."""
        groups.get_or_add(application, "keys").command("list")(self.run)

    def run(
        self,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        as_json: options.AsJson = False,
    ) -> None:
        """List the ids of all granted keys with their teams."""
        operators = options.operators_client(instances, key_file)
        async_runner.run(operators, self._list(operators, as_json))

    async def _list(
        self, operators: client.OperatorsClient, as_json: bool
    ) -> None:
        answer = await operators.keys()
        if as_json:
            output.print_json(answer)
            return
        output.print_table(
            ("key id", "team", "granted by", "state"),
            [
                (
                    key["key_id"],
                    key["team"],
                    key["granted_by"],
                    "withdrawn" if key["denied"] else "valid",
                )
                for key in answer["keys"]
            ],
        )
