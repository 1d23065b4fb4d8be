"""Rules files: the text and the version that it was made from."""

from __future__ import annotations

import pathlib
import re
from typing import NamedTuple

from marigoldgap import errors

# The first line of a file that `rules show` wrote. It is no part of the
# rules; without it, applying an old file would undo the changes of others.
_BASE_LINE = re.compile(r"# base version (\d{1,12})\s*")


class RulesFile(NamedTuple):
    """A rules file.

    Attributes:
        text: The rules without the line that names the base version.
        base_version: Version that the text was made from, if it is known.
        skipped_lines: Lines of the file in front of the text.
    """

    path: pathlib.Path
    text: str
    base_version: int | None
    skipped_lines: int


def read(path: pathlib.Path) -> RulesFile:
    """Reads a rules file.

    Raises:
        errors.InvalidRequestError: The file cannot be read.
    """
    try:
        content = path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidRequestError(
            f"{path} cannot be read: {error}"
        ) from error
    first, separator, rest = content.partition("\n")
    match = _BASE_LINE.fullmatch(first)
    if match is None or not separator:
        return RulesFile(path, content, None, 0)
    return RulesFile(path, rest, int(match.group(1)), 1)


def content_of(version: int, text: str) -> str:
    """Returns the content of a file with a base version."""
    return f"# base version {version}\n{text}"


def write(path: pathlib.Path, version: int, text: str) -> None:
    """Writes a rules file.

    Raises:
        errors.InvalidRequestError: The file cannot be written.
    """
    try:
        path.write_bytes(content_of(version, text).encode())
    except OSError as error:
        raise errors.InvalidRequestError(
            f"{path} cannot be written: {error}"
        ) from error
