"""Errors of a rules text with their position and a suggested correction."""

from __future__ import annotations

from collections.abc import Iterable
import difflib
from typing import NamedTuple

_MIN_SIMILARITY = 0.6


class Problem(NamedTuple):
    """An error of a rules text.

    Attributes:
        line: Number of the line, from 1.
        column: Number of the character in the line, from 1.
        message: What is wrong.
        suggestion: How to correct it.
    """

    line: int
    column: int
    message: str
    suggestion: str

    @property
    def description(self) -> str:
        """The position, message and suggestion in one line."""
        place = f"line {self.line}, column {self.column}"
        return f"{place}: {self.message}; {self.suggestion}"


def suggest_word(word: str, known: Iterable[str], kind: str) -> str:
    """Returns a suggestion with the known word most similar to a word.

    Args:
        word: The unknown word.
        known: Allowed words.
        kind: Plural noun for the words, e.g. `teams`; used if none is similar.
    """
    names = sorted(known)
    similar = nearest_word(word, names)
    if similar:
        return f"did you mean '{similar}'?"
    if not names:
        return f"there are no {kind} yet"
    return f"known {kind}: {', '.join(names)}"


def nearest_word(word: str, known: Iterable[str]) -> str:
    """Returns the most similar known word, or an empty string."""
    similar = difflib.get_close_matches(
        word.lower(), sorted(known), n=1, cutoff=_MIN_SIMILARITY
    )
    return similar[0] if similar else ""
