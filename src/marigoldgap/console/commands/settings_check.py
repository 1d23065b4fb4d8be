"""The command `settings check`."""

from __future__ import annotations

import pathlib

import typer

from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.settings import loader


@registry.command
class SettingsCheckCommand:
    """Checks a settings file."""

    def register(self, application: typer.Typer) -> None:
        """Adds the group `settings` with `check` to the application."""
        groups.get_or_add(application, "settings").command("check")(self.run)

    def run(self, path: pathlib.Path, as_json: options.AsJson = False) -> None:
        """Report every error of a settings file, with line and field."""
        settings = loader.load(path)
        if as_json:
            output.print_json(
                {"valid": True, "instance_id": settings.instance_id}
            )
        else:
            output.print_lines(
                [f"{path}: valid settings of {settings.instance_id}"]
            )
