"""Errors of a rules text with their place and a suggested correction."""

from __future__ import annotations

from collections.abc import Iterable
import difflib
from typing import NamedTuple

_LEAST_SIMILARITY = 0.6


class Problem(NamedTuple):
    """One error of the text.

    Attributes:
        line: Number of the line, from 1.
        column: Number of the character in the line, from 1.
        suggestion: What to write instead.
    """

    line: int
    column: int
    message: str
    suggestion: str

    @property
    def description(self) -> str:
        """The error in one line."""
        place = f"line {self.line}, column {self.column}"
        return f"{place}: {self.message}; {self.suggestion}"


def suggest_word(word: str, known: Iterable[str], kind: str) -> str:
    """Returns a suggestion that names the known word nearest to a word.

    Args:
        word: The unknown word.
        known: Words that are allowed here.
        kind: What the words are, e.g. `teams`; used if none is near.
    """
    names = sorted(known)
    near = nearest_word(word, names)
    if near:
        return f"did you mean '{near}'?"
    if not names:
        return f"there are no {kind} yet"
    return f"known {kind}: {', '.join(names)}"


def nearest_word(word: str, known: Iterable[str]) -> str:
    """Returns the known word that is most similar; empty if none is near."""
    near = difflib.get_close_matches(
        word.lower(), sorted(known), n=1, cutoff=_LEAST_SIMILARITY
    )
    return near[0] if near else ""
