"""Applies versions to the configuration."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from marigoldgap import errors
from marigoldgap.config_store import model
from marigoldgap.rules import difference

_Step = Callable[[model.Image, model.ConfigVersion], model.Image]
_steps: dict[str, _Step] = {}


def advance(image: model.Image, change: model.ConfigVersion) -> model.Image:
    """Returns the configuration after one more version.

    Args:
        image: The configuration before.
        change: A snapshot of any higher version, or the next version.

    Raises:
        errors.ProtocolError: The change does not follow the image or is
            malformed.
    """
    follows = change.version == image.version + 1
    is_newer_snapshot = (
        change.kind == model.KIND_SNAPSHOT and change.version > image.version
    )
    if not follows and not is_newer_snapshot:
        raise errors.ProtocolError(
            f"version {change.version} does not follow {image.version}"
        )
    step = _steps.get(change.kind)
    if step is None:
        raise errors.ProtocolError(f"unknown kind of version: {change.kind}")
    try:
        advanced = step(image, change)
    except (KeyError, TypeError, ValueError, errors.ConflictError) as error:
        raise errors.ProtocolError(
            f"version {change.version} is malformed: {error}"
        ) from error
    return advanced._replace(version=change.version)


def snapshot_of(image: model.Image, at_ms: int) -> model.ConfigVersion:
    """Returns the whole configuration as one version."""
    content = {
        "rules_text": image.rules_text,
        "keys": [list(record) for record in image.keys.values()],
        "rules_version": image.rules_version,
        "rules_author": image.rules_author,
    }
    return model.ConfigVersion(
        image.version, model.KIND_SNAPSHOT, "", at_ms, content
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


def _step(kind: str) -> Callable[[_Step], _Step]:
    """Registers how a kind of version changes the configuration."""

    def add(step: _Step) -> _Step:
        _steps[kind] = step
        return step

    return add


@_step(model.KIND_RULES)
def _change_rules(
    image: model.Image, change: model.ConfigVersion
) -> model.Image:
    changes = line_changes(change.content)
    return image._replace(
        rules_text=difference.apply(image.rules_text, changes),
        rules_version=change.version,
        rules_author=change.author,
    )


@_step(model.KIND_KEY)
def _grant_key(image: model.Image, change: model.ConfigVersion) -> model.Image:
    record = model.KeyRecord(*change.content["record"])
    return image._replace(keys={**image.keys, record.key_id: record})


@_step(model.KIND_WITHDRAWAL)
def _withdraw_key(
    image: model.Image, change: model.ConfigVersion
) -> model.Image:
    keys = dict(image.keys)
    keys.pop(change.content["key_id"], None)
    return image._replace(keys=keys)


@_step(model.KIND_SNAPSHOT)
def _load_snapshot(
    image: model.Image, change: model.ConfigVersion
) -> model.Image:
    content = change.content
    records = [model.KeyRecord(*each) for each in content["keys"]]
    return image._replace(
        rules_text=str(content["rules_text"]),
        keys={record.key_id: record for record in records},
        rules_version=int(content["rules_version"]),
        rules_author=str(content["rules_author"]),
    )
