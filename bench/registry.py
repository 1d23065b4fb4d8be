"""Registry of commands, filled by a decorator."""

from __future__ import annotations

from typing import Protocol

import typer


class Command(Protocol):
    """A command adds itself to the application."""

    def register(self, application: typer.Typer) -> None:
        """Adds the command to the application."""


_commands: list[type[Command]] = []


def command(command_class: type[Command]) -> type[Command]:
    """Adds a command class to the registry."""
    _commands.append(command_class)
    return command_class


def register_all(application: typer.Typer) -> None:
    """Adds every registered command to the application."""
    for command_class in _commands:
        command_class().register(application)
