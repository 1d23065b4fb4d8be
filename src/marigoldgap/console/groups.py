"""Command groups, which are shared by the modules of their commands."""

from __future__ import annotations

import typer

_HELP = {
    "configuration": "Check configurations of the platform.",
    "jobs": "Submit, look at and cancel jobs.",
    "keys": "Grant and withdraw the keys of teams.",
    "rules": "Look at and change the rules.",
    "settings": "Work with settings files.",
}


def get_or_add(application: typer.Typer, name: str) -> typer.Typer:
    """Returns a command group, and adds it to the application if missing."""
    for info in application.registered_groups:
        if info.name == name and info.typer_instance is not None:
            return info.typer_instance
    new_group = typer.Typer(help=_HELP[name], no_args_is_help=True)
    # With a callback, a group of only one command keeps that command's name.
    new_group.callback()(lambda: None)
    application.add_typer(new_group, name=name)
    return new_group
