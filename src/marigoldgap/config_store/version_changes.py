"""Applies versions to a configuration and builds their contents."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from marigoldgap import errors
from marigoldgap.config_store import model
from marigoldgap.rules import difference

_Applier = Callable[
    [model.Configuration, model.ConfigVersion], model.Configuration
]
_appliers: dict[str, _Applier] = {}


def apply_version(
    configuration: model.Configuration, change: model.ConfigVersion
) -> model.Configuration:
    """Returns the configuration after a version is applied.

    Args:
        configuration: The configuration before.
        change: The next version, or a snapshot of any higher version.

    Raises:
        errors.ProtocolError: The version leaves a gap, is not higher, has an
            unknown kind or is malformed.
    """
    follows = change.version == configuration.version + 1
    is_newer_snapshot = (
        change.kind == model.KIND_SNAPSHOT
        and change.version > configuration.version
    )
    if not follows and not is_newer_snapshot:
        raise errors.ProtocolError(
            f"version {change.version} does not follow {configuration.version}"
        )
    applier = _appliers.get(change.kind)
    if applier is None:
        raise errors.ProtocolError(f"unknown kind of version: {change.kind}")
    try:
        advanced = applier(configuration, change)
    except (KeyError, TypeError, ValueError, errors.ConflictError) as error:
        raise errors.ProtocolError(
            f"version {change.version} is malformed: {error}"
        ) from error
    return advanced._replace(version=change.version)


def snapshot_of(
    configuration: model.Configuration, at_ms: int
) -> model.ConfigVersion:
    """Returns a snapshot version that holds the whole configuration."""
    content = {
        "rules_text": configuration.rules_text,
        "keys": [list(record) for record in configuration.keys.values()],
        "rules_version": configuration.rules_version,
        "rules_author": configuration.rules_author,
    }
    return model.ConfigVersion(
        configuration.version, model.KIND_SNAPSHOT, "", at_ms, content
    )


def rules_content(old: str, new: str) -> dict[str, Any]:
    """Returns the content of a version that changes the rules."""
    return {"changes": [list(each) for each in difference.compare(old, new)]}


def key_content(record: model.KeyRecord) -> dict[str, Any]:
    """Returns the content of a version that grants a key."""
    return {"record": list(record)}


def withdrawal_content(key_id: str) -> dict[str, Any]:
    """Returns the content of a version that withdraws a key."""
    return {"key_id": key_id}


def line_changes(content: Any) -> tuple[difference.LineChange, ...]:
    """Returns the line changes of a version that changes the rules."""
    return tuple(
        difference.LineChange(line, tuple(removed), tuple(added))
        for line, removed, added in content["changes"]
    )


def _applies(kind: str) -> Callable[[_Applier], _Applier]:
    """Returns a decorator that registers the applier of a kind of version."""

    def add(applier: _Applier) -> _Applier:
        _appliers[kind] = applier
        return applier

    return add


@_applies(model.KIND_RULES)
def _change_rules(
    configuration: model.Configuration, change: model.ConfigVersion
) -> model.Configuration:
    changes = line_changes(change.content)
    return configuration._replace(
        rules_text=difference.apply(configuration.rules_text, changes),
        rules_version=change.version,
        rules_author=change.author,
    )


@_applies(model.KIND_KEY)
def _grant_key(
    configuration: model.Configuration, change: model.ConfigVersion
) -> model.Configuration:
    record = model.KeyRecord(*change.content["record"])
    return configuration._replace(
        keys={**configuration.keys, record.key_id: record}
    )


@_applies(model.KIND_WITHDRAWAL)
def _withdraw_key(
    configuration: model.Configuration, change: model.ConfigVersion
) -> model.Configuration:
    keys = dict(configuration.keys)
    keys.pop(change.content["key_id"], None)
    return configuration._replace(keys=keys)


@_applies(model.KIND_SNAPSHOT)
def _load_snapshot(
    configuration: model.Configuration, change: model.ConfigVersion
) -> model.Configuration:
    content = change.content
    records = [model.KeyRecord(*each) for each in content["keys"]]
    return configuration._replace(
        rules_text=str(content["rules_text"]),
        keys={record.key_id: record for record in records},
        rules_version=int(content["rules_version"]),
        rules_author=str(content["rules_author"]),
    )
