"""Writes a timeline as text, JSON lines or in the Trace Event format.

The Trace Event format is read by common trace viewers; its reference is the
document "Trace Event Format" of the Chromium project.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import json
from typing import Any

from marigoldgap import clock
from marigoldgap.events import hybrid_clock
from marigoldgap.events import model
from marigoldgap.events import registry

_MICROSECONDS_PER_MILLISECOND = 1_000
_PHASES = {"begin": "b", "end": "e"}
_ASYNC_INSTANT = "n"
_INSTANT = "i"

Exporter = Callable[[Sequence[model.RecordedEvent]], str]
_exporters: dict[str, Exporter] = {}


def formats() -> tuple[str, ...]:
    """Returns the names of the formats."""
    return tuple(_exporters)


def export(events: Sequence[model.RecordedEvent], name: str) -> str:
    """Returns events in a format; `formats` names them."""
    return _exporters[name](events)


def _format(name: str) -> Callable[[Exporter], Exporter]:
    """Registers an exporter."""

    def add(exporter: Exporter) -> Exporter:
        _exporters[name] = exporter
        return exporter

    return add


@_format("text")
def _text(events: Sequence[model.RecordedEvent]) -> str:
    return "".join(_text_line(event) + "\n" for event in events)


@_format("jsonl")
def _json_lines(events: Sequence[model.RecordedEvent]) -> str:
    return "".join(
        json.dumps(model.to_value(event), sort_keys=True) + "\n"
        for event in events
    )


@_format("trace")
def _trace(events: Sequence[model.RecordedEvent]) -> str:
    instances = sorted({event.instance_id for event in events})
    numbers = {name: number for number, name in enumerate(instances, start=1)}
    records = [_process_name(name, numbers[name]) for name in instances]
    spans = registry.spans()
    records += [
        _trace_record(event, numbers[event.instance_id], spans)
        for event in events
    ]
    return json.dumps({"traceEvents": records, "displayTimeUnit": "ms"}) + "\n"


def _text_line(event: model.RecordedEvent) -> str:
    wall_ms = hybrid_clock.to_ms(event.at)
    moment = datetime.datetime.fromtimestamp(
        wall_ms / clock.MILLISECONDS_PER_SECOND, datetime.UTC
    )
    time = moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    fields = " ".join(
        f"{name}={_printable(value)}" for name, value in event.fields.items()
    )
    counter = hybrid_clock.counter_of(event.at)
    return f"{time}/{counter} {event.instance_id} {event.name} {fields}".strip()


def _printable(value: Any) -> str:
    """Returns a value on one line; names come from callers."""
    text = str(value)
    plain = text.isprintable() and " " not in text and text
    return text if plain else json.dumps(text)


def _process_name(name: str, number: int) -> dict[str, Any]:
    return {
        "name": "process_name",
        "ph": "M",
        "pid": number,
        "tid": 0,
        "args": {"name": name},
    }


def _trace_record(
    event: model.RecordedEvent,
    number: int,
    spans: Mapping[str, tuple[str, str]],
) -> dict[str, Any]:
    """Returns one record; events of one id share a row in the viewer."""
    phase, field = spans.get(event.name, ("", _id_field(event)))
    record = {
        "name": field.removesuffix("_id") if phase else event.name,
        "cat": field.removesuffix("_id") or "instance",
        "ph": _PHASES.get(phase, _ASYNC_INSTANT),
        "id": str(event.fields.get(field, "")),
        "ts": hybrid_clock.to_ms(event.at) * _MICROSECONDS_PER_MILLISECOND
        + hybrid_clock.counter_of(event.at),
        "pid": number,
        "tid": 0,
        "args": {"event": event.name, **event.fields},
    }
    if not field:
        del record["id"]
        record |= {"ph": _INSTANT, "s": "p"}
    return record


def _id_field(event: model.RecordedEvent) -> str:
    """Returns the first field with an id, or an empty string."""
    return next(
        (
            name
            for name, value in event.fields.items()
            if name.endswith("_id") and value
        ),
        "",
    )
