"""Parses a rules text and reports all errors at once."""

from __future__ import annotations

from marigoldgap import errors
from marigoldgap.rules import lines
from marigoldgap.rules import model
from marigoldgap.rules import problems
from marigoldgap.rules import reader
from marigoldgap.rules import statements

# About ten times the length of rules for 420 teams with four queues each.
_MAX_CHARACTERS = 1_048_576
_MAX_LINES = 20_000
_MAX_PROBLEMS = 100


def parse(text: str) -> model.Rules:
    """Parses a rules text.

    Raises:
        errors.RulesError: The text has errors; the message lists each one
            with line, column and a suggestion.
    """
    draft, found = _parse(text)
    if found:
        raise errors.RulesError("\n".join(each.description for each in found))
    return model.Rules(
        draft.teams,
        draft.queues,
        draft.retry,
        draft.quarantine,
        draft.prefer_zones,
        text,
    )


def find_problems(text: str) -> list[problems.Problem]:
    """Returns the errors of a rules text in order of position."""
    return _parse(text)[1]


def _parse(text: str) -> tuple[statements.Draft, list[problems.Problem]]:
    draft = statements.Draft()
    found: list[problems.Problem] = []
    if len(text) > _MAX_CHARACTERS or text.count("\n") > _MAX_LINES:
        found.append(
            problems.Problem(
                1,
                1,
                f"the text has more than {_MAX_CHARACTERS} characters or "
                f"{_MAX_LINES} lines",
                "shorten it",
            )
        )
        return draft, found
    _check_characters(text, found)
    for line in lines.rule_lines(text):
        _parse_line(reader.LineReader(line, found), draft)
    _check_open_teams(draft, found)
    return draft, sorted(found)[:_MAX_PROBLEMS]


def _parse_line(
    line_reader: reader.LineReader, draft: statements.Draft
) -> None:
    line = line_reader.line
    word = line.words[0]
    read = statements.readers_by_keyword().get(word.text)
    if read is None:
        line_reader.report(
            word.column,
            f"unknown word '{word.text}'",
            problems.suggest_word(
                word.text, statements.readers_by_keyword(), "words here"
            ),
        )
        return
    read(line_reader, draft)
    if not line.comment:
        line_reader.report(
            line.end_column,
            "the line does not say who asked for the rule",
            "add e.g. '# asked by claims desk, 2026-12'",
        )


def _check_characters(text: str, found: list[problems.Problem]) -> None:
    for line, column, character in lines.unprintable_characters(text):
        found.append(
            problems.Problem(
                line,
                column,
                f"the character {character!a} cannot be printed",
                "remove it",
            )
        )


def _check_open_teams(
    draft: statements.Draft, found: list[problems.Problem]
) -> None:
    for team in draft.open_teams:
        if team.name in draft.teams:
            continue
        found.append(
            problems.Problem(
                team.line,
                team.column,
                f"team '{team.name}' has no 'team' line",
                problems.suggest_word(team.name, draft.teams, "teams"),
            )
        )
