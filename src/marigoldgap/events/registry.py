"""Registry of event types; types register with a decorator."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Protocol
from typing import TypeVar


class Event(Protocol):
    """Protocol of all events: NamedTuples of strings and numbers."""

    def _asdict(self) -> dict[str, Any]:
        """Returns the fields by name."""


class _Registration:
    """Registration of one event type.

    Attributes:
        name: Stable name of the event type.
        phase: `begin` or `end` if the event starts or ends a span; else empty.
        span: Name of the field that identifies the span.
    """

    def __init__(self, name: str, phase: str, span: str) -> None:
        self.name = name
        self.phase = phase
        self.span = span


_registrations: dict[type, _Registration] = {}
_EventType = TypeVar("_EventType", bound=type)


def event(
    name: str, phase: str = "", span: str = ""
) -> Callable[[_EventType], _EventType]:
    """Registers an event type under a stable name.

    Args:
        name: Stable name of the event type.
        phase: `begin` or `end` if the event starts or ends a span.
        span: Name of the field that identifies the span.
    """

    def add(event_class: _EventType) -> _EventType:
        _registrations[event_class] = _Registration(name, phase, span)
        return event_class

    return add


def name_of(record: Event) -> str:
    """Returns the stable name of an event's type."""
    return _registrations[type(record)].name


def spans() -> Mapping[str, tuple[str, str]]:
    """Returns phase and span field by name of each event that bounds a span."""
    return {
        registration.name: (registration.phase, registration.span)
        for registration in _registrations.values()
        if registration.phase
    }


def names() -> tuple[str, ...]:
    """Returns the names of all event types in alphabetical order."""
    return tuple(
        sorted(registration.name for registration in _registrations.values())
    )
