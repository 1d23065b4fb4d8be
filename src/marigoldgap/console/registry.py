"""Registries of commands, filled by a decorator."""

from __future__ import annotations

import importlib
import pkgutil
from types import ModuleType
from typing import Protocol

import typer


class Command(Protocol):
    """A command adds itself to the application."""

    def register(self, application: typer.Typer) -> None:
        """Adds the command to the application or to one of its groups."""


class CommandRegistry:
    """The commands of one command line."""

    def __init__(self) -> None:
        self._commands: list[type[Command]] = []

    def command(self, command_class: type[Command]) -> type[Command]:
        """Adds a command class; used as a decorator."""
        self._commands.append(command_class)
        return command_class

    def build(
        self, name: str, help_text: str, package: ModuleType
    ) -> typer.Typer:
        """Returns the application with all commands of a package.

        Args:
            name: Name of the program.
            help_text: First line of its help.
            package: Its modules are imported, which fills this registry.
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
