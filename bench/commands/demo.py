"""The command `demo`."""

from __future__ import annotations

import json

import typer

from bench import display
from bench import experiment
from bench import faults
from bench import layouts
from bench import registry

_DURATION_S = 20.0
_SEED = 1


@registry.command
class DemoCommand:
    """Runs a deployment for a short time without faults."""

    def register(self, application: typer.Typer) -> None:
        """Adds `demo` to the application."""
        application.command("demo")(self.run)

    def run(
        self,
        duration: float = _DURATION_S,
        layout: str = layouts.QUETZAL.name,
        seed: int = _SEED,
    ) -> None:
        """Run a small cluster with mixed work and print what was measured."""
        plan = experiment.Plan(
            "demo",
            layouts.find(layout),
            seed,
            duration,
            faults.names(faults.NONE),
        )
        shown = display.Display()
        result = experiment.execute(plan, shown.print_line, shown.show_progress)
        shown.show_result(result)
        typer.echo(json.dumps(result.verdict.fields))
        if not result.verdict.passed:
            raise typer.Exit(1)
