"""Encodes and decodes envelopes as packed Cap'n Proto messages."""

from __future__ import annotations

import pathlib
from typing import Any
from typing import NamedTuple

import capnp

from marigoldgap import errors
from marigoldgap.entries import conversion
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.entries import registry

# Largest decoded message in words of 8 bytes (16 MiB). Without a limit, a
# small packed message could expand to any size. The largest request body of
# the default settings (8 MiB) and its headers fit.
_TRAVERSAL_LIMIT_WORDS = 2_097_152
_NESTING_LIMIT = 12

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))

_MESSAGE_MODULES = (messages, job_messages)


class Envelope(NamedTuple):
    """A message with the metadata that a link needs to deliver it.

    Attributes:
        clock: Hybrid logical clock of the sender.
        correlation: Correlation id of the call; 0 if no answer is expected.
        is_answer: Whether the message answers the call.
    """

    message: Any
    clock: int = 0
    correlation: int = 0
    is_answer: bool = False


def encode(envelope: Envelope) -> bytes:
    """Returns the packed bytes of an envelope.

    Raises:
        TypeError: The message has no registered type.
    """
    kind = registry.kind_of(type(envelope.message))
    if kind is None:
        raise TypeError(
            f"no message is registered for {type(envelope.message).__name__}"
        )
    builder = _SCHEMA.Envelope.new_message()
    builder.clock = envelope.clock
    builder.correlation = envelope.correlation
    builder.isAnswer = envelope.is_answer
    converter = conversion.converter_of(kind.message_type)
    converter.write(builder.init(kind.field), envelope.message)
    return builder.to_bytes_packed()


def decode(data: bytes) -> Envelope:
    """Returns the envelope that the packed bytes hold.

    Raises:
        errors.ProtocolError: The bytes are malformed or hold a message of an
            unknown type.
    """
    try:
        return _decode(data)
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        reason = str(error).partition("\n")[0]
        raise errors.ProtocolError(
            f"malformed message of {len(data)} packed bytes: {reason}"
        ) from error


def _decode(data: bytes) -> Envelope:
    """Decodes an envelope; exceptions of the library pass through."""
    reader = _SCHEMA.Envelope.from_bytes_packed(
        data,
        traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS,
        nesting_limit=_NESTING_LIMIT,
    )
    field = str(reader.which)
    kind = registry.kind_named(field)
    if kind is None:
        raise errors.ProtocolError(f"unknown message type: {field}")
    converter = conversion.converter_of(kind.message_type)
    message = converter.read(getattr(reader, field))
    return Envelope(message, reader.clock, reader.correlation, reader.isAnswer)
