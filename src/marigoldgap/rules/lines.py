"""Splits a rules text into lines, words and comments."""

from __future__ import annotations

from collections.abc import Iterator
import re
from typing import NamedTuple

COMMENT_MARK = "#"
_WORD = re.compile(r"\S+")


class Word(NamedTuple):
    """A word and its column, counted from 1."""

    text: str
    column: int


class Line(NamedTuple):
    """A line with at least one word before its comment.

    Attributes:
        number: Number of the line, from 1.
        words: Words before the comment.
        end_column: Column after the last word, where a missing word would be.
        comment: Text after the comment mark, stripped of white space.
    """

    number: int
    words: tuple[Word, ...]
    end_column: int
    comment: str


class UnprintableCharacter(NamedTuple):
    """A character that a terminal does not print literally."""

    line: int
    column: int
    character: str


def rule_lines(text: str) -> Iterator[Line]:
    """Yields the lines with words; skips empty lines and pure comments."""
    for number, raw_line in enumerate(split(text), start=1):
        content, _, comment = raw_line.partition(COMMENT_MARK)
        words = tuple(
            Word(match.group(), match.start() + 1)
            for match in _WORD.finditer(content)
        )
        if not words:
            continue
        end_column = words[-1].column + len(words[-1].text)
        yield Line(number, words, end_column, comment.strip())


def unprintable_characters(text: str) -> Iterator[UnprintableCharacter]:
    """Yields non-printable characters except tabs.

    A control character in a comment could hide a rule on a terminal.
    """
    for number, raw_line in enumerate(split(text), start=1):
        for column, character in enumerate(raw_line, start=1):
            if not character.isprintable() and character != "\t":
                yield UnprintableCharacter(number, column, character)


def split(text: str) -> list[str]:
    """Returns the lines of a text; joining them with newlines restores it.

    Only a newline ends a line; `str.splitlines` also splits at characters that
    editors show within a line.
    """
    return text.split("\n")
