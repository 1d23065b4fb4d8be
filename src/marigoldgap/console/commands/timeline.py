"""The command `timeline`."""

from __future__ import annotations

from collections.abc import Sequence
import enum
from typing import Annotated

import typer

from marigoldgap import clock
from marigoldgap.console import async_runner
from marigoldgap.console import exit_codes
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.events import export
from marigoldgap.events import hybrid_clock
from marigoldgap.events import model
from marigoldgap.events import timeline
from marigoldgap.operators import client
from marigoldgap.rules import values


class Format(enum.Enum):
    """Output formats; trace viewers can open `trace`."""

    TEXT = "text"
    JSONL = "jsonl"
    TRACE = "trace"


@registry.command
class TimelineCommand:
    """Shows the events of instances."""

    def register(self, application: typer.Typer) -> None:
        """Adds `timeline` to the application."""
        application.command("timeline")(self.run)

    def run(
        self,
        subject: Annotated[
            str,
            typer.Argument(help="Id of a job, task, worker or instance."),
        ] = "",
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        since: Annotated[
            str | None, typer.Option(help="Only the last time, e.g. 10m.")
        ] = None,
        name: Annotated[
            Format, typer.Option("--format", help="How to print events.")
        ] = Format.TEXT,
        as_json: options.AsJson = False,
    ) -> None:
        """Collect the events of all given instances in causal order."""
        operators = options.operators_client(instances, key_file)
        since_time = _since_time(since)
        answers = async_runner.run(
            operators, self._collect(operators, subject, since_time)
        )
        merged = timeline.merge(
            [
                [model.from_value(event) for event in each.answer["events"]]
                for each in answers
                if not each.error
            ]
        )
        output_format = Format.JSONL if as_json else name
        typer.echo(export.export(merged, output_format.value), nl=False)
        _print_gaps(answers)
        if any(each.error for each in answers):
            raise typer.Exit(exit_codes.FAILURE)

    async def _collect(
        self, operators: client.OperatorsClient, subject: str, since: int
    ) -> Sequence[client.InstanceAnswer]:
        with output.progress("collecting events"):
            return await operators.instance_timelines(subject, since)


def _since_time(since: str | None) -> int:
    """Returns the earliest time to show, as a hybrid logical clock reading.

    Raises:
        typer.BadParameter: The text is not a duration.
    """
    if since is None:
        return 0
    try:
        seconds = values.duration_s(since)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error
    return hybrid_clock.from_ms(
        clock.wall_ms() - seconds * clock.MILLISECONDS_PER_SECOND
    )


def _print_gaps(answers: Sequence[client.InstanceAnswer]) -> None:
    """Prints which events are missing from the timeline, and why."""
    for each in answers:
        if each.error:
            output.print_note(f"not reached: {each.address} ({each.error})")
        elif each.answer["truncated"]:
            output.print_note(
                f"only the latest events of {each.address} are shown"
            )
        elif each.answer["dropped"]:
            output.print_note(
                f"{each.address} no longer has its oldest "
                f"{each.answer['dropped']} events"
            )
