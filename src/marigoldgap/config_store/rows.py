"""Keys of the rows that hold the configuration."""

from __future__ import annotations

from marigoldgap import errors

HEAD = "config/head"
VERSIONS = "config/"
DENIED = "denied/"
# The design page asks for a snapshot row every 64 versions.
SNAPSHOT_EVERY = 64

_SNAPSHOTS = "config-snapshot/"
_DIGITS = 12


def version_key(version: int) -> str:
    """Returns the key of the row of a version."""
    return f"{VERSIONS}{version:0{_DIGITS}d}"


def snapshot_key(version: int) -> str:
    """Returns the key of the snapshot row of a version."""
    return f"{_SNAPSHOTS}{version:0{_DIGITS}d}"


def denied_key(key_id: str) -> str:
    """Returns the key of the row of a withdrawn key."""
    return DENIED + key_id


def last_snapshot(version: int) -> int:
    """Returns the newest version up to this one with a snapshot, or 0."""
    return version - version % SNAPSHOT_EVERY


def head_version(value: object) -> int:
    """Returns the version that the head row names.

    Raises:
        errors.ProtocolError: The row is malformed.
    """
    if isinstance(value, dict) and isinstance(value.get("version"), int):
        return int(value["version"])
    raise errors.ProtocolError("the row config/head is malformed")
