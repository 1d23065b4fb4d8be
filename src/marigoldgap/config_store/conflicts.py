"""Explains which change of another operator caused a conflict."""

from __future__ import annotations

from collections.abc import Iterable

from marigoldgap.config_store import model
from marigoldgap.config_store import version_changes
from marigoldgap.rules import difference


def describe(
    base: model.Configuration, text: str, later: Iterable[model.ConfigVersion]
) -> str:
    """Returns a message that names the conflicting line and its author.

    A change that touches the same lines is preferred. If there is none, the
    message names a change of other lines.

    Args:
        base: The configuration that the refused operator edited.
        text: The rules text of the refused operator.
        later: Versions after the base, in increasing order.
    """
    own_changes = difference.compare(base.rules_text, text)
    configuration = base
    fallback = "the rules were changed meanwhile; read them again"
    for change in later:
        configuration = version_changes.apply_version(configuration, change)
        if change.kind != model.KIND_RULES:
            continue
        other_changes = difference.compare(
            base.rules_text, configuration.rules_text
        )
        found = difference.first_overlap(own_changes, other_changes)
        if found is None:
            continue
        message = _message(change, found)
        if any(difference.overlaps(found, each) for each in own_changes):
            return message
        fallback = message
    return fallback


def _message(change: model.ConfigVersion, found: difference.LineChange) -> str:
    lines = "; ".join(difference.format_changes([found]))
    return (
        f"{change.author} changed line {found.line} in version "
        f"{change.version} ({lines}); read the rules again, make your change "
        f"to them and apply"
    )
