"""The command `version`."""

from __future__ import annotations

import typer

import marigoldgap
from marigoldgap.console import registry


@registry.command
class VersionCommand:
    """Prints the version."""

    def register(self, application: typer.Typer) -> None:
        """Adds `version` to the application."""
        application.command("version")(self.run)

    def run(self) -> None:
        """Print the version of this program."""
        typer.echo(marigoldgap.__version__)
