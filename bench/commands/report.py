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
    """The directory of a finished run was not found."""

    code = "no-run"


@registry.command
class ReportCommand:
    """Draws the plots of a run and writes its page."""

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
            raise NoRunError(
                f"no finished run in {directory or experiment.RUNS};"
                " run `make demo` or `make soak` first"
            )
        typer.echo(report.write(chosen))
