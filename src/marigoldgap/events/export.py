"""Exports a timeline as text, JSON lines or in the Trace Event format.

Common trace viewers read the Trace Event format, which is specified in the
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
    """Returns the names of the export formats."""
    return tuple(_exporters)


def export(events: Sequence[model.RecordedEvent], name: str) -> str:
    """Returns the events in the format of this name, one of `formats()`."""
    return _exporters[name](events)


def _format(name: str) -> Callable[[Exporter], Exporter]:
    """Registers an exporter under the name of its format."""

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
    process_ids = {
        name: process_id for process_id, name in enumerate(instances, start=1)
    }
    records = [_process_name(name, process_ids[name]) for name in instances]
    spans = registry.spans()
    records += [
        _trace_record(event, process_ids[event.instance_id], spans)
        for event in events
    ]
    return json.dumps({"traceEvents": records, "displayTimeUnit": "ms"}) + "\n"


def _text_line(event: model.RecordedEvent) -> str:
    wall_ms = hybrid_clock.to_ms(event.at)
    timestamp = datetime.datetime.fromtimestamp(
        wall_ms / clock.MILLISECONDS_PER_SECOND, datetime.UTC
    )
    time = timestamp.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    fields = " ".join(
        f"{name}={_printable(value)}" for name, value in event.fields.items()
    )
    counter = hybrid_clock.counter_of(event.at)
    return f"{time}/{counter} {event.instance_id} {event.name} {fields}".strip()


def _printable(value: Any) -> str:
    """Returns a value as one printable word; quotes it if necessary.

    Values may contain arbitrary text from callers, e.g. names.
    """
    text = str(value)
    plain = text.isprintable() and " " not in text and text
    return text if plain else json.dumps(text)


def _process_name(name: str, process_id: int) -> dict[str, Any]:
    return {
        "name": "process_name",
        "ph": "M",
        "pid": process_id,
        "tid": 0,
        "args": {"name": name},
    }


def _trace_record(
    event: model.RecordedEvent,
    process_id: int,
    spans: Mapping[str, tuple[str, str]],
) -> dict[str, Any]:
    """Returns one record; viewers show events with the same id in one row."""
    phase, field = spans.get(event.name, ("", _id_field(event)))
    record = {
        "name": field.removesuffix("_id") if phase else event.name,
        "cat": field.removesuffix("_id") or "instance",
        "ph": _PHASES.get(phase, _ASYNC_INSTANT),
        "id": str(event.fields.get(field, "")),
        "ts": hybrid_clock.to_ms(event.at) * _MICROSECONDS_PER_MILLISECOND
        + hybrid_clock.counter_of(event.at),
        "pid": process_id,
        "tid": 0,
        "args": {"event": event.name, **event.fields},
    }
    if not field:
        del record["id"]
        record |= {"ph": _INSTANT, "s": "p"}
    return record


def _id_field(event: model.RecordedEvent) -> str:
    """Returns the name of the first non-empty id field, or an empty string."""
    return next(
        (
            name
            for name, value in event.fields.items()
            if name.endswith("_id") and value
        ),
        "",
    )
