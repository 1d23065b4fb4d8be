"""Reads and writes rules files, which name the version they are based on."""

from __future__ import annotations

import pathlib
import re
from typing import NamedTuple

from marigoldgap import errors

# The line with the base version, which is not part of the rules. `rules show`
# writes it below the rules, so that line numbers of the file and of the rules
# agree. Without it, an outdated file would overwrite later changes of others.
_BASE_LINE = re.compile(r"^# base version (\d{1,12})[ \t\r]*$\n?", re.MULTILINE)


class RulesFile(NamedTuple):
    """The content of a rules file.

    Attributes:
        path: Path of the file.
        text: The rules without the base version line.
        base_version: Version that the text is based on, if known.
        base_line: Number of the base version line, from 1; 0 if there is none.
    """

    path: pathlib.Path
    text: str
    base_version: int | None
    base_line: int

    def line_in_file(self, line: int) -> int:
        """Returns the line number in the file for a line number of the rules."""
        shifted = 0 < self.base_line <= line
        return line + 1 if shifted else line


def read(path: pathlib.Path) -> RulesFile:
    """Reads a rules file.

    Raises:
        errors.InvalidRequestError: The file cannot be read or names more
            than one base version.
    """
    try:
        content = path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidRequestError(
            f"{path} cannot be read: {error}"
        ) from error
    matches = list(_BASE_LINE.finditer(content))
    if not matches:
        return RulesFile(path, content, None, 0)
    if len(matches) > 1:
        raise errors.InvalidRequestError(
            f"{path} has several lines '# base version'; keep the right one"
        )
    [match] = matches
    text = content[: match.start()] + content[match.end() :]
    line = content.count("\n", 0, match.start()) + 1
    return RulesFile(path, text, int(match.group(1)), line)


def content_of(version: int, text: str) -> str:
    """Returns the rules followed by the base version line."""
    separator = "" if not text or text.endswith("\n") else "\n"
    return f"{text}{separator}# base version {version}\n"


def write(path: pathlib.Path, version: int, text: str) -> None:
    """Writes rules and their base version to a file.

    Raises:
        errors.InvalidRequestError: The file cannot be written.
    """
    try:
        path.write_bytes(content_of(version, text).encode())
    except OSError as error:
        raise errors.InvalidRequestError(
            f"{path} cannot be written: {error}"
        ) from error
