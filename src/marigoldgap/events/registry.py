"""Registry of event types, filled by a decorator."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Protocol
from typing import TypeVar


class Event(Protocol):
    """An event type is a NamedTuple of strings and numbers."""

    def _asdict(self) -> dict[str, Any]:
        """Returns the fields by name."""


class _Kind:
    """What is known about one event type.

    Attributes:
        phase: `begin`, `end` or empty: whether it bounds a span of time.
        span: Field that identifies the span.
    """

    def __init__(self, name: str, phase: str, span: str) -> None:
        self.name = name
        self.phase = phase
        self.span = span


_kinds: dict[type, _Kind] = {}
_EventType = TypeVar("_EventType", bound=type)


def event(
    name: str, phase: str = "", span: str = ""
) -> Callable[[_EventType], _EventType]:
    """Registers an event type under a stable name."""

    def add(event_class: _EventType) -> _EventType:
        _kinds[event_class] = _Kind(name, phase, span)
        return event_class

    return add


def name_of(record: Event) -> str:
    """Returns the stable name of an event's type."""
    return _kinds[type(record)].name


def spans() -> Mapping[str, tuple[str, str]]:
    """Returns phase and span field of the event names that bound spans."""
    return {
        kind.name: (kind.phase, kind.span)
        for kind in _kinds.values()
        if kind.phase
    }


def names() -> tuple[str, ...]:
    """Returns the names of all event types."""
    return tuple(sorted(kind.name for kind in _kinds.values()))
