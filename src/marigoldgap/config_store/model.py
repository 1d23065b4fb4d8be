"""Data types of keys and configuration versions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

KIND_RULES = "rules"
KIND_KEY = "key"
KIND_WITHDRAWAL = "withdrawal"
KIND_SNAPSHOT = "snapshot"


class KeyRecord(NamedTuple):
    """A granted key; only a salted hash of its secret is stored."""

    key_id: str
    team: str
    salt: str
    secret_hash: str
    granted_by: str
    granted_at_ms: int


class ConfigVersion(NamedTuple):
    """One published change of the configuration.

    Attributes:
        version: Number of the change; the first is 1.
        kind: `rules`, `key`, `withdrawal` or `snapshot`.
        author: Operator who applied the change.
        applied_at_ms: Wall-clock time of the change.
        content: The change as JSON data; its structure depends on the kind.
    """

    version: int
    kind: str
    author: str
    applied_at_ms: int
    content: Any


class Configuration(NamedTuple):
    """The whole configuration after a version.

    Withdrawn keys are omitted: an unknown key is refused, and a key id is
    never granted again.

    Attributes:
        version: Number of the version.
        rules_text: The text of the rules.
        keys: Granted keys by key id.
        rules_version: Version that last changed the rules.
        rules_author: Operator who applied that version.
    """

    version: int
    rules_text: str
    keys: Mapping[str, KeyRecord]
    rules_version: int = 0
    rules_author: str = ""


EMPTY_CONFIGURATION = Configuration(0, "", {})
