"""Keys and configuration versions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

KIND_RULES = "rules"
KIND_KEY = "key"
KIND_WITHDRAWAL = "withdrawal"
KIND_SNAPSHOT = "snapshot"


class KeyRecord(NamedTuple):
    """A granted key; only the salted hash of its secret is kept."""

    key_id: str
    team: str
    salt: str
    secret_hash: str
    granted_by: str
    granted_at_ms: int


class ConfigVersion(NamedTuple):
    """One accepted change of the configuration.

    Attributes:
        version: Number of the change; 1 is the first.
        kind: `rules`, `key`, `withdrawal` or `snapshot`.
        author: Who applied the change.
        content: The change in JSON form; its shape depends on the kind.
    """

    version: int
    kind: str
    author: str
    applied_at_ms: int
    content: Any


class Image(NamedTuple):
    """The whole configuration after one version.

    Withdrawn keys are left out: an unknown key is refused, and a key id is
    never granted again.

    Attributes:
        rules_version: Version that changed the rules last.
        rules_author: Who applied that version.
    """

    version: int
    rules_text: str
    keys: Mapping[str, KeyRecord]
    rules_version: int = 0
    rules_author: str = ""


EMPTY_IMAGE = Image(0, "", {})
