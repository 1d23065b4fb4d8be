"""Recorded events as they are exported and merged."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from marigoldgap import errors


class RecordedEvent(NamedTuple):
    """One event of one instance; tuples sort in causal order.

    Attributes:
        at: Time of the hybrid logical clock.
        sequence: Number of the event at its instance.
        name: Stable name of the event's type.
        fields: Values of the event.
    """

    at: int
    instance_id: str
    sequence: int
    name: str
    fields: Mapping[str, Any]

    def concerns(self, subject: str) -> bool:
        """Tells whether a field has a value, or a job id that it starts.

        Task ids of a job start with the job id and a dot.
        """
        return any(
            value == subject
            or (isinstance(value, str) and value.startswith(subject + "."))
            for value in self.fields.values()
        )


def to_value(event: RecordedEvent) -> dict[str, Any]:
    """Returns an event as JSON values."""
    return {**event._asdict(), "fields": dict(event.fields)}


def from_value(value: Any) -> RecordedEvent:
    """Reads an event that another instance sent.

    Raises:
        errors.ProtocolError: The value is no event.
    """
    try:
        event = RecordedEvent(**value)
        return event._replace(
            at=int(event.at),
            instance_id=str(event.instance_id),
            sequence=int(event.sequence),
            name=str(event.name),
            fields=dict(event.fields),
        )
    except (TypeError, ValueError) as error:
        raise errors.ProtocolError(f"not an event: {error}") from error
