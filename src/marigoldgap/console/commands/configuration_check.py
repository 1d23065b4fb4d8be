"""The command `configuration check`."""

from __future__ import annotations

from collections.abc import Sequence
import pathlib
from typing import Annotated

import typer

from marigoldgap import errors
from marigoldgap.cell import configuration_check
from marigoldgap.cell import model
from marigoldgap.console import exit_codes
from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.platform import decoding
from marigoldgap.platform import documents


@registry.command
class ConfigurationCheckCommand:
    """Checks a file with the content of the configuration row."""

    def register(self, application: typer.Typer) -> None:
        """Adds the group `configuration` with `check` to the application."""
        group = groups.get_or_add(application, "configuration")
        group.command("check")(self.run)

    def run(
        self,
        path: Annotated[pathlib.Path, typer.Argument(metavar="FILE")],
        against: Annotated[
            pathlib.Path | None,
            typer.Option(
                metavar="FILE",
                help="File with the version in force; differences are listed.",
            ),
        ] = None,
        as_json: options.AsJson = False,
    ) -> None:
        """Report faults of a configuration before it is written to the store."""
        in_force = None if against is None else _read_in_force(against)
        content = _read(path)
        try:
            candidate = documents.decode_candidate(content)
        except decoding.FormatError as error:
            findings = [configuration_check.create_undecodable(error.detail)]
        else:
            findings = configuration_check.find(candidate, in_force)
        _print(path, findings, as_json)
        if configuration_check.has_errors(findings):
            raise typer.Exit(exit_codes.FAILURE)


def _print(
    path: pathlib.Path,
    findings: Sequence[configuration_check.Finding],
    as_json: bool,
) -> None:
    is_valid = not configuration_check.has_errors(findings)
    if as_json:
        values = [
            {**each._asdict(), "severity": each.severity.value}
            for each in findings
        ]
        output.print_json({"valid": is_valid, "findings": values})
        return
    output.print_lines(
        f"{each.severity.value} {each.code}: {each.subject}: {each.text}"
        for each in findings
    )
    output.print_lines([f"{path}: {'valid' if is_valid else 'not valid'}"])


def _read_in_force(path: pathlib.Path) -> model.Configuration:
    """Reads the version in force.

    Raises:
        errors.InvalidRequestError: The file cannot be read or decoded.
    """
    try:
        return documents.decode_candidate(_read(path)).configuration
    except decoding.FormatError as error:
        raise errors.InvalidRequestError(f"{path}: {error.detail}") from error


def _read(path: pathlib.Path) -> bytes:
    """Reads a file.

    Raises:
        errors.InvalidRequestError: The file cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.InvalidRequestError(
            f"{path} cannot be read: {error}"
        ) from error
