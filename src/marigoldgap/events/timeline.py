"""Merges the events of several instances in causal order."""

from __future__ import annotations

from collections.abc import Iterable

from marigoldgap.events import model


def merge(
    sources: Iterable[Iterable[model.RecordedEvent]],
) -> list[model.RecordedEvent]:
    """Returns each event once, causes before their effects.

    Args:
        sources: Events of each instance, in any order; an event that several
            sources contain is returned once.
    """
    unique = {
        (event.instance_id, event.sequence, event.at): event
        for source in sources
        for event in source
    }
    return sorted(unique.values(), key=_order)


def _order(event: model.RecordedEvent) -> tuple[int, str, int]:
    return event.at, event.instance_id, event.sequence
