"""Groups of commands; several modules add commands to one group."""

from __future__ import annotations

import typer

_HELP = {
    "jobs": "Submit, look at and cancel jobs.",
    "keys": "Grant and withdraw the keys of teams.",
    "rules": "Look at and change the rules.",
    "settings": "Work with settings files.",
}


def group(application: typer.Typer, name: str) -> typer.Typer:
    """Returns a group of the application and adds it when it is new."""
    for info in application.registered_groups:
        if info.name == name and info.typer_instance is not None:
            return info.typer_instance
    made = typer.Typer(help=_HELP[name], no_args_is_help=True)
    # A callback keeps the command's name for groups with one command.
    made.callback()(lambda: None)
    application.add_typer(made, name=name)
    return made
