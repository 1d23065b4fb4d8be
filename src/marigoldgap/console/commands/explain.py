"""The command `explain`."""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
import sys
from typing import Annotated

import typer

from marigoldgap import job_explanation
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry


@registry.command
class ExplainCommand:
    """Explains what happened to a job, from log lines."""

    def register(self, application: typer.Typer) -> None:
        """Adds `explain` to the application."""
        application.command("explain")(self.run)

    def run(
        self,
        job_id: str,
        files: Annotated[
            list[pathlib.Path] | None,
            typer.Argument(help="Log files of any processes."),
        ] = None,
        as_json: options.AsJson = False,
    ) -> None:
        """Print what happened to a job and the likely cause of a failure.

        Reads log lines of any number of processes from files, or from standard
        input without any.
        """
        explanation = job_explanation.explain(job_id, _lines(files))
        if as_json:
            output.print_json(
                {
                    "lines": [line._asdict() for line in explanation.lines],
                    "unreadable": explanation.unreadable,
                    "cause": explanation.cause,
                }
            )
            return
        output.print_lines(
            [*_table(explanation), f"cause: {explanation.cause}"]
        )


def _lines(files: list[pathlib.Path] | None) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for file in files:
        with file.open(errors="replace") as opened:
            yield from opened


def _table(explanation: job_explanation.Explanation) -> Iterator[str]:
    start_ms = explanation.lines[0].time_ms if explanation.lines else 0
    for line in explanation.lines:
        shown = {
            name: value
            for name, value in line.fields.items()
            if name not in ("level", "part")
        }
        details = " ".join(f"{name}={value}" for name, value in shown.items())
        yield (
            f"{(line.time_ms - start_ms) / 1000:8.3f} {line.instance}"
            f" {line.event} {details}"
        )
    if explanation.unreadable:
        yield f"{explanation.unreadable} lines are no log lines"
