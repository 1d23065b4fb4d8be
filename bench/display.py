"""Shows the progress and the result of a run on the terminal."""

from __future__ import annotations

import collections

import rich.console
import rich.table

from bench import checker
from bench import experiment

# Progress is printed as lines instead of a live table so that it is also
# readable in a log file.
_CALLS_PER_LINE = 4


class Display:
    """Prints the phases, the progress and the result of a run."""

    def __init__(self) -> None:
        self._console = rich.console.Console(stderr=True)
        self._calls = 0
        self._printed_messages = 0

    def print_line(self, line: str) -> None:
        """Prints one line."""
        self._console.print(
            f"[bold]{line}[/bold]", highlight=False, soft_wrap=True
        )

    def show_progress(self, progress: experiment.Progress) -> None:
        """Prints new fault messages and, every 2 s, a line of progress."""
        history = progress.context.history
        for _, message in history[self._printed_messages :]:
            self._console.print(
                f"  fault: {message}", highlight=False, soft_wrap=True
            )
        self._printed_messages = len(history)
        self._calls += 1
        if self._calls % _CALLS_PER_LINE:
            return
        outcomes = collections.Counter(
            each.outcome for each in progress.load.caller.submissions
        )
        running = sum(progress.collected.running.values())
        self._console.print(
            f"  answered {outcomes['answered']},"
            f" refused {outcomes['refused']},"
            f" unknown {outcomes['unknown']},"
            f" running {running} of {progress.plan.layout.slots} slots,"
            f" link {sum(progress.collected.link_bytes.values())} bytes",
            highlight=False,
            soft_wrap=True,
        )

    def show_result(self, result: experiment.Result) -> None:
        """Prints the fields of the verdict and the violations."""
        table = rich.table.Table("field", "value")
        for name, value in result.verdict.fields.items():
            is_violation = name in result.verdict.violations
            style = "bold red" if is_violation else ""
            table.add_row(name, str(value), style=style)
        self._console.print(table)
        for field in checker.INVARIANT_FIELDS:
            for line in result.verdict.violations.get(field, []):
                self._console.print(
                    f"  {field}: {line}", highlight=False, soft_wrap=True
                )
        self._console.print(
            f"files: {result.directory}", highlight=False, soft_wrap=True
        )
