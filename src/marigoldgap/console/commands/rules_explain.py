"""The command `rules explain`."""

from __future__ import annotations

import enum

import typer

from marigoldgap.console import async_runner
from marigoldgap.console import explanation_output
from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import registry


class Subject(enum.Enum):
    """Kinds of names in the rules that can be explained."""

    TEAM = "team"
    QUEUE = "queue"


@registry.command
class RulesExplainCommand:
    """Explains a team or a queue."""

    def register(self, application: typer.Typer) -> None:
        """Adds `rules explain` to the application."""
        groups.get_or_add(application, "rules").command("explain")(self.run)

    def run(
        self,
        kind: Subject,
        name: str,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        as_json: options.AsJson = False,
    ) -> None:
        """Explain in plain sentences what the rules mean for a name."""
        operators = options.operators_client(instances, key_file)
        async_runner.run(
            operators,
            explanation_output.print_explanation(
                operators, kind.value, name, as_json
            ),
        )
