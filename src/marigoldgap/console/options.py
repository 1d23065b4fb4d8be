"""Options of the command line that several commands share."""

from __future__ import annotations

import getpass
import os
import pathlib
from typing import Annotated

import typer

from marigoldgap import errors
from marigoldgap.operators import api_client
from marigoldgap.operators import client
from marigoldgap.operators import jobs_client

_OPERATOR_KEY = "MARIGOLDGAP_OPERATOR_KEY"
_TEAM_KEY = "MARIGOLDGAP_KEY"

Instances = Annotated[
    list[str],
    typer.Option(
        "--instance",
        "-i",
        envvar="MARIGOLDGAP_INSTANCES",
        help="Address of an entry instance, e.g. 10.0.0.5:8080; repeat it for "
        "several. The next one is used when one does not answer.",
    ),
]
KeyFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        help="File with the key; without it the key is taken from "
        f"{_OPERATOR_KEY}, for jobs from {_TEAM_KEY}.",
    ),
]
AsJson = Annotated[
    bool, typer.Option("--json", help="Print JSON instead of text.")
]
Author = Annotated[
    str | None,
    typer.Option(
        help="Who makes the change; the user name if it is not given."
    ),
]
WaitSeconds = Annotated[
    float,
    typer.Option(
        "--wait",
        min=0,
        max=600,
        help="Longest time in seconds to wait until the change is in force "
        "in all zones.",
    ),
]
# The requirements (section 1.6) allow 10 s until a change is in force in all
# zones.
DEFAULT_WAIT_S = 10.0


def operators_client(
    instances: list[str], key_file: pathlib.Path | None
) -> client.OperatorsClient:
    """Returns a client that authenticates with the operators' key.

    Raises:
        typer.BadParameter: There is no key or no instance address.
    """
    key = _read_key(key_file, _OPERATOR_KEY)
    if not key:
        raise typer.BadParameter(
            f"no operators' key: set {_OPERATOR_KEY} or give --key-file"
        )
    return client.OperatorsClient(_caller(instances, key))


def team_client(
    instances: list[str], key_file: pathlib.Path | None
) -> jobs_client.JobsClient:
    """Returns a client that authenticates with the key of a team.

    Open queues accept requests without a key.

    Raises:
        typer.BadParameter: There is no instance address.
    """
    return jobs_client.JobsClient(
        _caller(instances, _read_key(key_file, _TEAM_KEY))
    )


def author_name(author: str | None) -> str:
    """Returns the given author, by default the name of the user.

    Raises:
        typer.BadParameter: The user has no name.
    """
    if author:
        return author
    try:
        return getpass.getuser()
    except (KeyError, OSError) as error:
        raise typer.BadParameter(
            "the user has no name: give --author"
        ) from error


def _caller(instances: list[str], key: str) -> api_client.ApiClient:
    if not instances:
        raise typer.BadParameter(
            "no instance: give --instance or set MARIGOLDGAP_INSTANCES"
        )
    return api_client.ApiClient(instances, key)


def _read_key(key_file: pathlib.Path | None, variable: str) -> str:
    """Reads a key from a file or an environment variable.

    No option takes the key itself, since other users of the machine can see
    command lines.

    Raises:
        errors.InvalidRequestError: The file cannot be read.
    """
    if key_file is None:
        return os.environ.get(variable, "").strip()
    try:
        return key_file.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidRequestError(
            f"{key_file} cannot be read: {error}"
        ) from error
