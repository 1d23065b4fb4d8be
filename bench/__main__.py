"""Runs the tool with `python -m bench`."""

from __future__ import annotations

import importlib
import pkgutil
import sys

import typer

from bench import commands
from bench import registry
from marigoldgap import errors

_EXIT_FAILURE = 1


def build() -> typer.Typer:
    """Returns the application with all commands."""
    application = typer.Typer(
        name="bench",
        help="Load and experiments on stand-ins.",
        no_args_is_help=True,
        pretty_exceptions_enable=False,
    )
    for module in pkgutil.iter_modules(commands.__path__):
        importlib.import_module(f"{commands.__name__}.{module.name}")
    registry.register_all(application)
    return application


def main() -> None:
    """Runs the command line; errors end with a code and one message."""
    try:
        build()()
    except errors.MarigoldgapError as error:
        typer.echo(f"error {error.code}: {error.detail}", err=True)
        sys.exit(_EXIT_FAILURE)


if __name__ == "__main__":
    main()
