"""Answers of the operators API; the server and the client share them."""

from __future__ import annotations

from typing import Any
from typing import TypedDict

ROOT = "/v1/operators"

Zones = dict[str, bool]


class RulesAnswer(TypedDict):
    """The rules in force; `author` applied them last."""

    version: int
    text: str
    author: str


class AppliedAnswer(TypedDict):
    """An applied text; `changed` is false if it was in force already."""

    version: int
    changed: bool
    zones: Zones


class PreviewAnswer(TypedDict):
    """What a text would do; `teams` has the fields of `TeamEffect`."""

    version: int
    changes: list[str]
    sentences: list[str]
    teams: list[dict[str, Any]]


class HistoryItem(TypedDict):
    """One version; `changes` are lines with `-` or `+` in front."""

    version: int
    kind: str
    author: str
    applied_at_ms: int
    changes: list[str]


class HistoryAnswer(TypedDict):
    """Versions, the newest first."""

    versions: list[HistoryItem]


class GrantedAnswer(TypedDict):
    """A new key; the only place where it is shown."""

    key: str
    key_id: str
    version: int


class WithdrawnAnswer(TypedDict):
    """A withdrawal; `version` is null while the store is down."""

    key_id: str
    version: int | None
    zones: Zones


class KeyItem(TypedDict):
    """A granted key without its secret."""

    key_id: str
    team: str
    granted_by: str
    granted_at_ms: int
    denied: bool


class KeysAnswer(TypedDict):
    """All granted keys."""

    version: int
    keys: list[KeyItem]


class InForceAnswer(TypedDict):
    """Where a version or a withdrawal is in force."""

    zones: Zones


class TimelineAnswer(TypedDict):
    """Events of one instance."""

    instance_id: str
    dropped: int
    truncated: bool
    events: list[dict[str, Any]]


class ExplainAnswer(TypedDict):
    """Plain sentences about a team, a queue or a job."""

    sentences: list[str]
