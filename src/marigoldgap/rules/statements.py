"""Readers of the statements of a rules text, registered by a decorator."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from marigoldgap.rules import lines
from marigoldgap.rules import model
from marigoldgap.rules import reader
from marigoldgap.rules import values

KINDS = ("quick", "batch", "gang", "service")
_MAX_LIMIT = 10_000_000
_MAX_PRIORITY = 100
_MAX_ATTEMPTS = 10
_MAX_FAILURES = 100
_MIN_ZONES = 1


class Draft:
    """Collects the rules while the lines are read.

    Attributes:
        open_teams: Teams of open queues, checked after the last line.
        single_statement_lines: Line number of each statement that may appear only once.
    """

    def __init__(self) -> None:
        self.teams: dict[str, model.TeamRule] = {}
        self.queues: dict[str, model.QueueRule] = {}
        self.retry = model.RetryRule()
        self.quarantine = model.QuarantineRule()
        self.prefer_zones: tuple[str, ...] = ()
        self.open_teams: list[OpenTeam] = []
        self.single_statement_lines: dict[str, int] = {}


class OpenTeam(NamedTuple):
    """The team of an open queue and the position of its name."""

    name: str
    line: int
    column: int


StatementReader = Callable[[reader.LineReader, Draft], None]
_readers: dict[str, StatementReader] = {}


def readers_by_keyword() -> Mapping[str, StatementReader]:
    """Returns the reader of each statement by its keyword."""
    return _readers


def _statement(word: str) -> Callable[[StatementReader], StatementReader]:
    """Registers the reader of a statement under its keyword."""

    def add(read: StatementReader) -> StatementReader:
        _readers[word] = read
        return read

    return add


_TEAM_FIELDS = {
    "share": reader.Field(values.positive_number, "share 10", True),
    "limit": reader.Field(values.count(0, _MAX_LIMIT), "limit 100", True),
    "workspace": reader.Field(values.name, "workspace claims-desk"),
}


@_statement("team")
def _read_team(line_reader: reader.LineReader, draft: Draft) -> None:
    line = line_reader.line
    name = line_reader.name("team NAME share NUMBER limit NUMBER")
    fields = line_reader.fields(_TEAM_FIELDS, first=2)
    if _report_if_repeated(line_reader, "team", name, draft.teams):
        return
    draft.teams[name] = model.TeamRule(
        name,
        fields.get("share") or 0.0,
        fields.get("limit") or 0,
        line.number,
        line.comment,
        fields.get("workspace") or "",
    )


_QUEUE_FIELDS = {
    "kind": reader.Field(values.name, "kind quick", True, KINDS),
    "service": reader.Field(values.name, "service claims-engine", True),
    "keyed": reader.Field(None, "keyed"),
    "open": reader.Field(None, "open team public"),
    "team": reader.Field(values.name, "team public"),
    "deadline": reader.Field(values.duration_s, "deadline 6h"),
    "priority": reader.Field(values.count(0, _MAX_PRIORITY), "priority 5"),
}


@_statement("queue")
def _read_queue(line_reader: reader.LineReader, draft: Draft) -> None:
    line = line_reader.line
    name = line_reader.name("queue NAME kind KIND service NAME keyed")
    fields = line_reader.fields(_QUEUE_FIELDS, first=2)
    _check_access(line_reader, fields, draft)
    if _report_if_repeated(line_reader, "queue", name, draft.queues):
        return
    draft.queues[name] = model.QueueRule(
        name,
        fields.get("kind") or "",
        fields.get("service") or "",
        "open" not in fields,
        fields.get("team") or "",
        fields.get("deadline"),
        fields.get("priority") or 0,
        line.number,
        line.comment,
    )


def _check_access(
    line_reader: reader.LineReader, fields: Mapping[str, object], draft: Draft
) -> None:
    """Reports a queue that is not either keyed or open for a team."""
    column = line_reader.line.end_column
    if ("keyed" in fields) == ("open" in fields):
        line_reader.report(
            column,
            "a queue is either keyed or open",
            "write 'keyed' or 'open team NAME', not both",
        )
        return
    if "open" in fields and "team" not in fields:
        line_reader.report(
            column, "the open queue has no team", "add 'team NAME'"
        )
    if "keyed" in fields and "team" in fields:
        line_reader.report(
            _column_of(line_reader.line, "team"),
            "a keyed queue has no team of its own; the key decides",
            "remove 'team' and its value",
        )
    if "open" in fields and fields.get("team"):
        column = _column_of(line_reader.line, "team") + len("team ")
        draft.open_teams.append(
            OpenTeam(str(fields["team"]), line_reader.line.number, column)
        )


_RETRY_FIELDS = {
    "attempts": reader.Field(
        values.count(1, _MAX_ATTEMPTS), "attempts 3", True
    ),
    "budget": reader.Field(values.percent, "budget 10%", True),
}


@_statement("retry")
def _read_retry(line_reader: reader.LineReader, draft: Draft) -> None:
    fields = line_reader.fields(_RETRY_FIELDS, first=1)
    _check_single(line_reader, draft)
    draft.retry = model.RetryRule(
        fields.get("attempts") or 1, fields.get("budget") or 0
    )


_QUARANTINE_FIELDS = {
    "after": reader.Field(values.count(1, _MAX_FAILURES), "after 5", True),
    "probe": reader.Field(values.duration_s, "probe 30s", True),
}


@_statement("quarantine")
def _read_quarantine(line_reader: reader.LineReader, draft: Draft) -> None:
    fields = line_reader.fields(_QUARANTINE_FIELDS, first=1)
    _check_single(line_reader, draft)
    draft.quarantine = model.QuarantineRule(
        fields.get("after") or 1, fields.get("probe") or 1
    )


@_statement("zones")
def _read_zones(line_reader: reader.LineReader, draft: Draft) -> None:
    line = line_reader.line
    _check_single(line_reader, draft)
    words = line.words[1:]
    if not words or words[0].text != "prefer":
        column = words[0].column if words else line.end_column
        line_reader.report(
            column, "'prefer' is missing", "write 'zones prefer ZONE ZONE'"
        )
        return
    if len(words) <= _MIN_ZONES:
        line_reader.report(
            line.end_column, "no zone is named", "add e.g. 'centro-a'"
        )
    zones = [_read_zone(line_reader, word) for word in words[1:]]
    for word, zone in zip(words[1:], zones, strict=True):
        if zones.count(zone) > 1:
            line_reader.report(
                word.column, f"zone '{zone}' is repeated", "remove one"
            )
            break
    draft.prefer_zones = tuple(zones)


def _read_zone(line_reader: reader.LineReader, word: lines.Word) -> str:
    try:
        return values.name(word.text)
    except ValueError as error:
        line_reader.report(word.column, str(error), "write e.g. 'centro-a'")
        return word.text


def _report_if_repeated(
    line_reader: reader.LineReader,
    kind: str,
    name: str,
    rules: Mapping[str, model.TeamRule] | Mapping[str, model.QueueRule],
) -> bool:
    """Reports a second rule with the same name.

    Returns:
        Whether the name is repeated or empty.
    """
    if name in rules:
        line_reader.report(
            line_reader.line.words[1].column,
            f"{kind} '{name}' is already defined on line {rules[name].line}",
            "remove one of the two lines or rename one",
        )
    return not name or name in rules


def _check_single(line_reader: reader.LineReader, draft: Draft) -> None:
    """Reports a second line of a statement that may appear only once."""
    word = line_reader.line.words[0]
    first = draft.single_statement_lines.setdefault(
        word.text, line_reader.line.number
    )
    if first != line_reader.line.number:
        line_reader.report(
            word.column,
            f"'{word.text}' is already set on line {first}",
            "remove one of the two lines",
        )


def _column_of(line: lines.Line, text: str) -> int:
    """Returns the column of a word after the name; the line must contain it."""
    return next(word.column for word in line.words[2:] if word.text == text)
