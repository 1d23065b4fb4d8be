"""Entry point of the load tool, `python -m bench`."""

from __future__ import annotations

import sys

import typer

from bench import commands
from bench import registry
from marigoldgap import errors

_EXIT_FAILURE = 1


def build() -> typer.Typer:
    """Returns the command-line application with all commands."""
    return registry.build(
        "bench", "Load and experiments on stand-ins.", commands
    )


def main() -> None:
    """Runs the command line; prints an error as its code and one message."""
    try:
        build()()
    except errors.MarigoldgapError as error:
        typer.echo(f"error {error.code}: {error.detail}", err=True)
        sys.exit(_EXIT_FAILURE)


if __name__ == "__main__":
    main()
