"""Explains which change of another operator came first."""

from __future__ import annotations

from collections.abc import Iterable

from marigoldgap.config_store import images
from marigoldgap.config_store import model
from marigoldgap.rules import difference


def describe(
    base: model.Image, text: str, later: Iterable[model.ConfigVersion]
) -> str:
    """Returns a message that names the line and who changed it.

    Args:
        base: The configuration that the losing operator edited.
        text: The text of the losing operator.
        later: Versions after the base.
    """
    mine = difference.compare(base.rules_text, text)
    image = base
    fallback = "the rules were changed meanwhile; read them again"
    for change in later:
        image = images.advance(image, change)
        if change.kind != model.KIND_RULES:
            continue
        theirs = difference.compare(base.rules_text, image.rules_text)
        found = difference.first_overlap(mine, theirs)
        if found is None:
            continue
        message = _message(change, found)
        if any(difference.overlaps(found, each) for each in mine):
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
