"""Registry of message types and decorator for their handlers."""

from __future__ import annotations

from collections.abc import Callable
import enum
from typing import Any
from typing import NamedTuple
from typing import TypeVar

MessageType = TypeVar("MessageType", bound=type)
HandlerType = TypeVar("HandlerType", bound=Callable[..., Any])

_HANDLED_ATTRIBUTE = "_handled_message_type"


class Traffic(enum.Enum):
    """Class of traffic for the byte budget of an instance.

    CONTROL messages are charged to the budget and never delayed. DIGEST
    messages are charged as well, and wait while the budget is exhausted. WORK
    messages carry the payloads of callers and are not charged, since their
    volume is no control overhead.
    """

    CONTROL = "control"
    DIGEST = "digest"
    WORK = "work"


class MessageKind(NamedTuple):
    """Encoding and traffic class of one message type.

    Attributes:
        field: Name of the field in the union of the schema's Envelope.
        message_type: The NamedTuple of the message.
        traffic: Class of traffic for the byte budget.
    """

    field: str
    message_type: type
    traffic: Traffic


_by_type: dict[type, MessageKind] = {}
_by_field: dict[str, MessageKind] = {}


def message(
    field: str, traffic: Traffic = Traffic.CONTROL
) -> Callable[[MessageType], MessageType]:
    """Returns a decorator that registers a NamedTuple as a message.

    Args:
        field: Name of the field in the union of the schema's Envelope.
        traffic: Class of traffic for the byte budget.
    """

    def register(message_type: MessageType) -> MessageType:
        kind = MessageKind(field, message_type, traffic)
        _by_type[message_type] = kind
        _by_field[field] = kind
        return message_type

    return register


def kind_of(message_type: type) -> MessageKind | None:
    """Returns the kind of a message type, or None if it is not a message."""
    return _by_type.get(message_type)


def kind_named(field: str) -> MessageKind | None:
    """Returns the message kind of a field of the schema, or None."""
    return _by_field.get(field)


def all_kinds() -> tuple[MessageKind, ...]:
    """Returns all message kinds in the order of their registration."""
    return tuple(_by_type.values())


def handles(message_type: type) -> Callable[[HandlerType], HandlerType]:
    """Returns a decorator that marks the handler method of a message type.

    A handler takes the sender's instance id and the message. A plain method
    runs in the order of arrival and must not block; a coroutine method runs
    as a task of its own. Its result is the answer to the sender's call.
    """

    def mark(handler: HandlerType) -> HandlerType:
        setattr(handler, _HANDLED_ATTRIBUTE, message_type)
        return handler

    return mark


def handlers_of(receiver: object) -> dict[type, Callable[..., Any]]:
    """Returns the bound handlers of an object by message type."""
    found = {}
    for name in dir(type(receiver)):
        handler = getattr(type(receiver), name, None)
        message_type = getattr(handler, _HANDLED_ATTRIBUTE, None)
        if message_type is not None:
            found[message_type] = getattr(receiver, name)
    return found
