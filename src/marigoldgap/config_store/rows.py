"""Keys and layout of the rows that hold the configuration."""

from __future__ import annotations

from marigoldgap import errors

HEAD = "config/head"
VERSIONS = "config/"
DENIED = "denied/"
# Interval of snapshot rows in versions, as the design page requires.
SNAPSHOT_EVERY = 64

_SNAPSHOTS = "config-snapshot/"
_VERSION_DIGITS = 12


def version_key(version: int) -> str:
    """Returns the row key of a version."""
    return f"{VERSIONS}{version:0{_VERSION_DIGITS}d}"


def snapshot_key(version: int) -> str:
    """Returns the row key of the snapshot at a version."""
    return f"{_SNAPSHOTS}{version:0{_VERSION_DIGITS}d}"


def denied_key(key_id: str) -> str:
    """Returns the row key of a withdrawn caller key."""
    return DENIED + key_id


def last_snapshot(version: int) -> int:
    """Returns the newest version with a snapshot up to this one; 0 if none."""
    return version - version % SNAPSHOT_EVERY


def head_version(value: object) -> int:
    """Returns the version in the value of the head row.

    Raises:
        errors.ProtocolError: The row is malformed.
    """
    if isinstance(value, dict) and isinstance(value.get("version"), int):
        return int(value["version"])
    raise errors.ProtocolError("the row config/head is malformed")
