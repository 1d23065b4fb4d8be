"""The story of one job, from the log lines of several processes."""

from __future__ import annotations

from collections.abc import Iterable
import json
from typing import Any
from typing import NamedTuple

# Events that concern every job that was open at the time.
_CELL_EVENTS = frozenset(
    {
        "elected",
        "taking_over",
        "leadership_handed_over",
        "leadership_lost",
        "fenced",
        "recovered",
        "write_failed",
    }
)
_WORKER_EVENTS = frozenset(
    {"worker_lost", "worker_gone", "worker_quarantined", "worker_draining"}
)
# A job that waits longer than this for its first start is taken as late.
_LONG_WAIT_MS = 1_000


class Line(NamedTuple):
    """One log line."""

    time_ms: int
    instance: str
    event: str
    fields: dict[str, Any]


class Story(NamedTuple):
    """What happened to a job.

    Attributes:
        lines: The lines that concern it, in the order of their times.
        unreadable: Number of lines that are no log lines.
        cause: The most likely cause of what went wrong, or that all went well.
    """

    lines: list[Line]
    unreadable: int
    cause: str


def read(texts: Iterable[str]) -> tuple[list[Line], int]:
    """Returns the log lines among texts, and how many texts are none.

    Text before the first brace is skipped: collectors often add some.
    """
    lines = []
    unreadable = 0
    for text in texts:
        line = _parse(text)
        if line is None:
            unreadable += bool(text.strip())
        else:
            lines.append(line)
    return lines, unreadable


def tell(job_id: str, texts: Iterable[str]) -> Story:
    """Returns the story of a job."""
    lines, unreadable = read(texts)
    own = [line for line in lines if _mentions(line, job_id)]
    if not own:
        return Story([], unreadable, f"no line mentions {job_id}")
    first = min(line.time_ms for line in own)
    last = max(line.time_ms for line in own)
    workers = {line.fields.get("worker") for line in own} - {None}
    around = [
        line
        for line in lines
        if first <= line.time_ms <= last
        and not _mentions(line, job_id)
        and (
            line.event in _CELL_EVENTS
            or (
                line.event in _WORKER_EVENTS
                and line.fields.get("worker") in workers
            )
        )
    ]
    story = sorted([*own, *around], key=lambda line: line.time_ms)
    return Story(story, unreadable, _cause(story))


def _parse(text: str) -> Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    known = [
        fields.pop(name, None) for name in ("time_ms", "instance", "event")
    ]
    time_ms, instance, event = known
    if not isinstance(time_ms, int) or not isinstance(event, str):
        return None
    return Line(time_ms, str(instance), event, fields)


def _mentions(line: Line, job_id: str) -> bool:
    return any(
        job_id in value
        for value in line.fields.values()
        if isinstance(value, str)
    )


def _cause(story: list[Line]) -> str:
    events: dict[str, list[Line]] = {}
    for line in story:
        events.setdefault(line.event, []).append(line)
    ended = events.get("job_ended", [])
    if ended and ended[-1].fields.get("state") == "failed":
        return _failed_cause(ended[-1], events)
    if "job_accepted" not in events and "request_refused" in events:
        fields = events["request_refused"][-1].fields
        return (
            f"never accepted: {fields.get('status')} {fields.get('code')}: "
            f"{fields.get('cause')}"
        )
    late = _late_cause(events)
    if late:
        return late
    if not ended:
        return "accepted, and no end is in these lines"
    return f"ended as {ended[-1].fields.get('state')} without trouble"


def _failed_cause(ended: Line, events: dict[str, list[Line]]) -> str:
    workers = sorted(
        {
            str(line.fields.get("worker"))
            for line in events.get("run_ended", [])
            if line.fields.get("how") == "failed"
        }
    )
    cause = f"failed: {ended.fields.get('cause')}, on {', '.join(workers)}"
    if "worker_quarantined" in events:
        return f"{cause}; a worker among them fails what it starts"
    return cause


def _late_cause(events: dict[str, list[Line]]) -> str:
    """Returns what delayed a job, or nothing."""
    parts = []
    lost = [
        line
        for line in events.get("run_ended", [])
        if line.fields.get("how") == "lapsed"
    ]
    if lost:
        workers = sorted({str(line.fields.get("worker")) for line in lost})
        parts.append(f"{len(lost)} runs were lost with {', '.join(workers)}")
    if "recovered" in events:
        parts.append("another instance was elected meanwhile")
    if "write_failed" in events:
        count = len(events["write_failed"])
        parts.append(f"the store refused {count} writes of progress")
    for name, what in (
        ("start_unanswered", "orders got no answer"),
        ("start_refused", "starts were refused"),
        ("advice_failed", "calls for advice failed"),
    ):
        if name in events:
            parts.append(f"{len(events[name])} {what}")
    queued, began = events.get("job_queued"), events.get("job_began")
    if queued and began:
        waited = began[0].time_ms - queued[0].time_ms
        if waited > _LONG_WAIT_MS:
            parts.append(f"waited {waited} ms for its first start")
    return "delayed: " + "; ".join(parts) if parts else ""
