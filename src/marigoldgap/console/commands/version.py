"""The command `version`."""

from __future__ import annotations

import typer

import marigoldgap
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry


@registry.command
class VersionCommand:
    """Prints the version."""

    def register(self, application: typer.Typer) -> None:
        """Adds `version` to the application."""
        application.command("version")(self.run)

    def run(self, as_json: options.AsJson = False) -> None:
        """Print the version of this program."""
        if as_json:
            output.print_json({"version": marigoldgap.__version__})
        else:
            output.print_lines([marigoldgap.__version__])
