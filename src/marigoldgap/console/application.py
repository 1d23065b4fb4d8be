"""Entry point of the command line, with its error handling."""

from __future__ import annotations

import sys

import typer

from marigoldgap import errors
from marigoldgap.console import commands
from marigoldgap.console import exit_codes
from marigoldgap.console import output
from marigoldgap.console import registry


def build() -> typer.Typer:
    """Returns the typer application with all commands."""
    return registry.build(
        "marigoldgap", "A cluster scheduler for unlike workloads.", commands
    )


def main() -> None:
    """Runs the command line; an error is printed and sets the exit code."""
    try:
        build()()
    except errors.MarigoldgapError as error:
        output.print_error(error)
        sys.exit(exit_codes.for_error(error))
