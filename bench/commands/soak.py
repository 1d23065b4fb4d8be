"""The command `soak`."""

from __future__ import annotations

import json
from typing import Annotated

import typer

from bench import display
from bench import experiment
from bench import faults
from bench import layouts
from bench import load
from bench import registry

_RATES = load.Rates()


@registry.command
class SoakCommand:
    """Runs a deployment under load and faults and prints the verdict."""

    def register(self, application: typer.Typer) -> None:
        """Adds `soak` to the application."""
        application.command("soak")(self.run)

    def run(
        self,
        seed: int = 1,
        duration: Annotated[float, typer.Option(help="Seconds.")] = 60,
        chosen: Annotated[
            str,
            typer.Option("--faults", help="all, none, or names with commas."),
        ] = faults.ALL,
        layout: str = layouts.QUETZAL.name,
        requests_per_s: float = _RATES.requests_per_s,
        jobs_per_s: float = _RATES.jobs_per_s,
    ) -> None:
        """Run load and faults; the last line is the verdict in JSON."""
        plan = experiment.Plan(
            "soak",
            layouts.find(layout),
            seed,
            duration,
            faults.names(chosen),
            load.Rates(requests_per_s, jobs_per_s),
        )
        shown = display.Display()
        result = experiment.execute(plan, shown.print_line, shown.show_progress)
        shown.show_result(result)
        typer.echo(json.dumps(result.verdict.fields))
        if not result.verdict.passed:
            raise typer.Exit(1)
