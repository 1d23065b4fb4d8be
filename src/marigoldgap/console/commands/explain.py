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
    """Tells the story of a job from log lines."""

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
        story = job_explanation.explain(job_id, _lines(files))
        if as_json:
            output.values(
                {
                    "lines": [line._asdict() for line in story.lines],
                    "unreadable": story.unreadable,
                    "cause": story.cause,
                }
            )
            return
        output.lines([*_table(story), f"cause: {story.cause}"])


def _lines(files: list[pathlib.Path] | None) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for file in files:
        with file.open(errors="replace") as opened:
            yield from opened


def _table(story: job_explanation.Explanation) -> Iterator[str]:
    start_ms = story.lines[0].time_ms if story.lines else 0
    for line in story.lines:
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
    if story.unreadable:
        yield f"{story.unreadable} lines are no log lines"
