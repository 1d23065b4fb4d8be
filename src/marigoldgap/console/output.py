"""Prints results to standard output and notes to standard error."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import json
import sys
from typing import Any

import rich.console
import rich.table
import typer

from marigoldgap import errors
from marigoldgap.console import next_steps

# Columns of output that is not a terminal; wide enough for every table.
_FILE_WIDTH = 160
_JSON_OPTION = "--json"


def print_lines(text: Iterable[str]) -> None:
    """Prints lines of text."""
    for line in text:
        typer.echo(line)


def print_json(content: Any) -> None:
    """Prints a value as JSON."""
    typer.echo(json.dumps(content, indent=2))


def print_note(text: str) -> None:
    """Prints text that is not part of the result to standard error."""
    typer.echo(text, err=True)


def make_table(
    columns: Sequence[str], rows: Iterable[Sequence[object]]
) -> rich.table.Table:
    """Returns a table, with a dash for None."""
    result = rich.table.Table(*columns)
    for row in rows:
        result.add_row(*("-" if each is None else str(each) for each in row))
    return result


def print_table(
    columns: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Prints a table."""
    console().print(make_table(columns, rows))


def console(to_errors: bool = False) -> rich.console.Console:
    """Returns a console that prints text literally, without markup."""
    stream = sys.stderr if to_errors else sys.stdout
    width = None if stream.isatty() else _FILE_WIDTH
    return rich.console.Console(
        file=stream, width=width, markup=False, highlight=False
    )


def progress(text: str) -> contextlib.AbstractContextManager[Any]:
    """Shows a progress indicator while entered, on a terminal only."""
    return console(to_errors=True).status(text)


def print_error(error: errors.MarigoldgapError) -> None:
    """Prints an error with its code and the next step, as JSON if asked for."""
    step = next_steps.for_code(error.code)
    if _JSON_OPTION in sys.argv[1:]:
        content = {
            "code": error.code,
            "detail": error.detail,
            "ran": error.ran.value,
            "next_step": step,
        }
        print_note(json.dumps({"error": content}))
        return
    print_note(f"error {error.code}: {error.detail}")
    print_note(f"next step: {step}")
