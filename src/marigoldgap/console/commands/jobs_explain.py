"""The command `jobs explain`."""

from __future__ import annotations

import typer

from marigoldgap.console import async_runner
from marigoldgap.console import explanation_output
from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import registry


@registry.command
class JobsExplainCommand:
    """Explains a job."""

    def register(self, application: typer.Typer) -> None:
        """Adds `jobs explain` to the application."""
        groups.get_or_add(application, "jobs").command("explain")(self.run)

    def run(
        self,
        job_id: str,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        as_json: options.AsJson = False,
    ) -> None:
        """Explain why a job waits or what became of it (operators only)."""
        operators = options.operators_client(instances, key_file)
        async_runner.run(
            operators,
            explanation_output.print_explanation(
                operators, "job", job_id, as_json
            ),
        )
