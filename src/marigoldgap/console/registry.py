"""Registry of commands, which register through a decorator."""

from __future__ import annotations

import importlib
import pkgutil
from types import ModuleType
from typing import Protocol

import typer


class Command(Protocol):
    """A command that can add itself to an application."""

    def register(self, application: typer.Typer) -> None:
        """Adds the command to the application or to a command group."""


class CommandRegistry:
    """The commands of one command line."""

    def __init__(self) -> None:
        self._commands: list[type[Command]] = []

    def command(self, command_class: type[Command]) -> type[Command]:
        """Registers a command class; serves as a decorator."""
        self._commands.append(command_class)
        return command_class

    def build(
        self, name: str, help_text: str, package: ModuleType
    ) -> typer.Typer:
        """Imports all commands of a package and returns their application.

        Args:
            name: Name of the program.
            help_text: Help text of the program.
            package: Package of the command modules; the import of a module
                registers its commands.
        """
        for module in pkgutil.iter_modules(package.__path__):
            importlib.import_module(f"{package.__name__}.{module.name}")
        application = typer.Typer(
            name=name,
            help=help_text,
            no_args_is_help=True,
            pretty_exceptions_enable=False,
        )
        for command_class in self._commands:
            command_class().register(application)
        return application


_program = CommandRegistry()
command = _program.command
build = _program.build
