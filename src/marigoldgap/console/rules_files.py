"""Rules files: the text and the version that it was made from."""

from __future__ import annotations

import pathlib
import re
from typing import NamedTuple

from marigoldgap import errors

# The line that `rules show` writes below the rules, so that line numbers of
# the file and of the rules agree. It is no part of the rules; without it,
# applying an old file would undo the changes of others.
_BASE_LINE = re.compile(r"^# base version (\d{1,12})[ \t\r]*$\n?", re.MULTILINE)


class RulesFile(NamedTuple):
    """A rules file.

    Attributes:
        text: The rules without the line that names the base version.
        base_version: Version that the text was made from, if it is known.
        base_line: Number of the line that names it; 0 if there is none.
    """

    path: pathlib.Path
    text: str
    base_version: int | None
    base_line: int

    def line_in_file(self, line: int) -> int:
        """Returns the line of the file for a line of the rules."""
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
    """Returns the content of a file with a base version."""
    separator = "" if not text or text.endswith("\n") else "\n"
    return f"{text}{separator}# base version {version}\n"


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
