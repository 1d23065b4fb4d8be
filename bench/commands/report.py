"""The command `report`."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from bench import experiment
from bench import registry
from bench import report
from marigoldgap import errors


class NoRunError(errors.MarigoldgapError):
    """There is no finished run to report on."""

    code = "no-run"


@registry.command
class ReportCommand:
    """Draws the plots and the page of a run."""

    def register(self, application: typer.Typer) -> None:
        """Adds `report` to the application."""
        application.command("report")(self.run)

    def run(
        self,
        directory: Annotated[
            pathlib.Path | None,
            typer.Argument(help="Directory of a run; the latest by default."),
        ] = None,
    ) -> None:
        """Draw plots of a run and write a page in markdown."""
        chosen = directory or experiment.latest_directory()
        if chosen is None or not (chosen / "verdict.json").exists():
            raise NoRunError("run `make demo` or `make soak` first")
        typer.echo(report.write(chosen))
