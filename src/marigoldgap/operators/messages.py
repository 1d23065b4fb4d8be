"""Response bodies of the operators API, for its server and its client."""

from __future__ import annotations

from typing import Any
from typing import TypedDict

PATH_PREFIX = "/v1/operators"

# For each zone, whether something is in force there.
Zones = dict[str, bool]


class RulesAnswer(TypedDict):
    """The rules in force; `author` is the person who applied them."""

    version: int
    text: str
    author: str


class AppliedAnswer(TypedDict):
    """Applied rules; `changed` is false if the text was already in force."""

    version: int
    changed: bool
    zones: Zones


class PreviewAnswer(TypedDict):
    """Effects of a rules text; `teams` has the fields of `TeamEffect`."""

    version: int
    changes: list[str]
    sentences: list[str]
    teams: list[dict[str, Any]]


class HistoryItem(TypedDict):
    """A configuration version; `changes` are lines prefixed by `-` or `+`."""

    version: int
    kind: str
    author: str
    applied_at_ms: int
    changes: list[str]


class HistoryAnswer(TypedDict):
    """Configuration versions, newest first."""

    versions: list[HistoryItem]


class GrantedAnswer(TypedDict):
    """A new key; no other response contains its secret."""

    key: str
    key_id: str
    version: int


class WithdrawnAnswer(TypedDict):
    """A withdrawn key; `version` is null while the store is down."""

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
    """The zones in which a version or a withdrawal is in force."""

    zones: Zones


class TimelineAnswer(TypedDict):
    """Events of one instance, possibly truncated to the latest."""

    instance_id: str
    dropped: int
    truncated: bool
    events: list[dict[str, Any]]


class ExplainAnswer(TypedDict):
    """Plain sentences about a team, a queue or a job."""

    sentences: list[str]
