"""Reads the words of one line according to a table of fields."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from marigoldgap.rules import lines
from marigoldgap.rules import problems
from marigoldgap.rules import values


class Field(NamedTuple):
    """A field of a rule: a keyword with or without a value.

    Attributes:
        read: Reads the value after the keyword; None if the field has no value.
        example: Example of the field for suggestions.
        required: Whether the rule must contain the field.
        choices: Allowed values; empty if every readable value is allowed.
    """

    read: Callable[[str], Any] | None
    example: str
    required: bool = False
    choices: tuple[str, ...] = ()


class LineReader:
    """Reads one line and collects its problems.

    Args:
        line: The line to read.
        found: List to which problems are appended.
    """

    def __init__(self, line: lines.Line, found: list[problems.Problem]) -> None:
        self._line = line
        self._found = found

    @property
    def line(self) -> lines.Line:
        """The line that is read."""
        return self._line

    def report(self, column: int, message: str, suggestion: str) -> None:
        """Appends a problem of this line."""
        self._found.append(
            problems.Problem(self._line.number, column, message, suggestion)
        )

    def name(self, example: str) -> str:
        """Returns the name after the first word, or an empty string.

        Args:
            example: Example of the statement for the suggestion.
        """
        if len(self._line.words) == 1:
            self.report(
                self._line.end_column, "the name is missing", f"write {example}"
            )
            return ""
        field = Field(values.name, example)
        return self._value(self._line.words[1], field) or ""

    def fields(self, known: Mapping[str, Field], first: int) -> dict[str, Any]:
        """Returns the values of all fields that the line contains.

        Args:
            known: Allowed fields by keyword.
            first: Index of the first word to read.
        """
        found: dict[str, Any] = {}
        words = list(self._line.words[first:])
        while words:
            word = words.pop(0)
            if word.text not in known:
                self._report_unknown(word, known)
                # Reads a misspelt keyword as the most similar one; otherwise
                # its value and the missing field would be reported too.
                word = word._replace(
                    text=problems.nearest_word(word.text, known)
                )
            field = known.get(word.text)
            if field is None:
                continue
            if word.text in found:
                self.report(
                    word.column, f"'{word.text}' is repeated", "remove one"
                )
            found[word.text] = self._read(word, field, words, known)
        self._report_missing(found, known)
        return found

    def _read(
        self,
        word: lines.Word,
        field: Field,
        rest: list[lines.Word],
        known: Mapping[str, Field],
    ) -> Any:
        """Reads the value of a field; True if the field has no value."""
        if field.read is None:
            return True
        if not rest or _is_next_field(field, rest, known):
            column = word.column + len(word.text)
            self.report(
                column,
                f"'{word.text}' has no value",
                f"write e.g. '{field.example}'",
            )
            return None
        return self._value(rest.pop(0), field)

    def _value(self, word: lines.Word, field: Field) -> Any:
        assert field.read is not None
        if field.choices and word.text not in field.choices:
            self.report(
                word.column,
                f"unknown value '{word.text}'",
                problems.suggest_word(word.text, field.choices, "values here"),
            )
            return None
        try:
            return field.read(word.text)
        except ValueError as error:
            self.report(
                word.column, str(error), f"write e.g. '{field.example}'"
            )
            return None

    def _report_unknown(
        self, word: lines.Word, known: Mapping[str, Field]
    ) -> None:
        self.report(
            word.column,
            f"unknown word '{word.text}'",
            problems.suggest_word(word.text, known, "words here"),
        )

    def _report_missing(
        self, found: Mapping[str, Any], known: Mapping[str, Field]
    ) -> None:
        for word, field in known.items():
            if field.required and word not in found:
                self.report(
                    self._line.end_column,
                    f"'{word}' is missing",
                    f"add e.g. '{field.example}'",
                )


def _is_next_field(
    field: Field, rest: list[lines.Word], known: Mapping[str, Field]
) -> bool:
    """Returns whether the next word starts a field instead of being a value.

    `service` is both a keyword and a kind: as a value, it is followed by the
    next field or by the end of the line.
    """
    if rest[0].text not in known:
        return False
    is_choice = rest[0].text in (field.choices)
    is_followed = len(rest) == 1 or rest[1].text in known
    return not (is_choice and is_followed)
