"""The command `keys withdraw`."""

from __future__ import annotations

import typer

from marigoldgap.console import async_runner
from marigoldgap.console import groups
from marigoldgap.console import in_force
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.operators import client
from marigoldgap.operators import messages


@registry.command
class KeysWithdrawCommand:
    """Withdraws a key."""

    def register(self, application: typer.Typer) -> None:
        """Adds `keys withdraw` to the application."""
        groups.get_or_add(application, "keys").command("withdraw")(self.run)

    def run(
        self,
        key_id: str,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        author: options.Author = None,
        wait_s: options.WaitSeconds = options.DEFAULT_WAIT_S,
        as_json: options.AsJson = False,
    ) -> None:
        """Withdraw a key for ever and report which zones refuse it."""
        operators = options.operators_client(instances, key_file)
        name = options.author_name(author)
        zones = async_runner.run(
            operators, self._withdraw(operators, key_id, name, wait_s, as_json)
        )
        in_force.exit_if_unconfirmed(zones)

    async def _withdraw(
        self,
        operators: client.OperatorsClient,
        key_id: str,
        author: str,
        wait_s: float,
        as_json: bool,
    ) -> messages.Zones:
        result = await operators.withdraw_key(key_id, author)

        async def fetch() -> messages.Zones:
            return await operators.withdrawal_in_force(
                key_id, result["version"]
            )

        zones = await in_force.wait_for_zones(result["zones"], fetch, wait_s)
        if as_json:
            output.print_json({**result, "zones": zones})
            return zones
        output.print_lines([f"key {key_id} is withdrawn"])
        if result["version"] is None:
            output.print_note(
                "the table service is down; the withdrawal is passed on "
                "between instances and stored later"
            )
        in_force.print_zones(zones)
        return zones
