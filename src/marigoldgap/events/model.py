"""Recorded events in the form in which they are merged and exported."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from marigoldgap import errors


class RecordedEvent(NamedTuple):
    """One event of one instance; tuples sort in causal order.

    Attributes:
        at: Time of the hybrid logical clock.
        sequence: Sequence number of the event at its instance.
        name: Stable name of the event's type.
        fields: Field values of the event by name.
    """

    at: int
    instance_id: str
    sequence: int
    name: str
    fields: Mapping[str, Any]

    def concerns(self, subject: str) -> bool:
        """Returns whether a field has this id, or the id of a task of this job.

        Task ids of a job start with the job id and a dot.
        """
        return any(
            value == subject
            or (isinstance(value, str) and value.startswith(subject + "."))
            for value in self.fields.values()
        )


def to_value(event: RecordedEvent) -> dict[str, Any]:
    """Returns an event as a JSON object."""
    return {**event._asdict(), "fields": dict(event.fields)}


def from_value(value: Any) -> RecordedEvent:
    """Parses an event that another instance sent.

    Raises:
        errors.ProtocolError: The value is not an event.
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
