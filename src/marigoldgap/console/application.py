"""The typer application and its error handling."""

from __future__ import annotations

import importlib
import pkgutil
import sys

import typer

from marigoldgap import errors
from marigoldgap.console import commands
from marigoldgap.console import exit_codes
from marigoldgap.console import output
from marigoldgap.console import registry


def build() -> typer.Typer:
    """Returns the application with all commands."""
    application = typer.Typer(
        name="marigoldgap",
        help="A cluster scheduler for unlike workloads.",
        no_args_is_help=True,
        pretty_exceptions_enable=False,
    )
    for module in pkgutil.iter_modules(commands.__path__):
        importlib.import_module(f"{commands.__name__}.{module.name}")
    registry.register_all(application)
    return application


def main() -> None:
    """Runs the command line; errors end with a code and one clear message."""
    try:
        build()()
    except errors.MarigoldgapError as error:
        output.report(error)
        sys.exit(exit_codes.of(error))
