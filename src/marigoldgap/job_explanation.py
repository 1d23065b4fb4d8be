"""Explains what happened to a job, from the log lines of several processes."""

from __future__ import annotations

from collections.abc import Iterable
import json
from typing import Any
from typing import NamedTuple

# Events that affect every job that has not ended at the time.
_SCHEDULER_EVENTS = frozenset(
    {
        "elected",
        "taking_over",
        "leadership_handed_over",
        "leadership_lost",
        "fenced",
        "recovered",
        "write_failed",
        "zone_evacuating",
    }
)
_WORKER_EVENTS = frozenset(
    {
        "worker_lost",
        "worker_gone",
        "worker_restarted",
        "worker_quarantined",
        "worker_draining",
    }
)
# A job that waits longer for its first start counts as delayed.
_MAX_START_WAIT_MS = 1_000
# A run that takes longer than this multiple of its expected time is named.
_MAX_TIME_RATIO = 2.0


class LogLine(NamedTuple):
    """A decoded log line; `fields` holds its other fields."""

    time_ms: int
    instance: str
    event: str
    fields: dict[str, Any]


class Explanation(NamedTuple):
    """What happened to a job.

    Attributes:
        lines: Log lines that concern the job, ordered by time.
        unreadable: Number of lines that are not log lines.
        cause: Most likely cause of a failure or delay, or a statement that
            there was none.
    """

    lines: list[LogLine]
    unreadable: int
    cause: str


def decode_lines(texts: Iterable[str]) -> tuple[list[LogLine], int]:
    """Decodes log lines.

    Text before the first brace of a line is skipped: log collectors often add
    a prefix.

    Returns:
        The decoded lines, and the number of non-empty texts that are not log
        lines.
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


def explain(job_id: str, texts: Iterable[str]) -> Explanation:
    """Explains what happened to a job.

    Args:
        job_id: Identifier of the job.
        texts: Log lines of any processes, in any order.

    Returns:
        The lines that mention the job, and those of the same period about the
        scheduler or about the workers of the job, with the most likely cause.
    """
    lines, unreadable = decode_lines(texts)
    own = [line for line in lines if _mentions(line, job_id)]
    if not own:
        return Explanation([], unreadable, f"no line mentions {job_id}")
    first = min(line.time_ms for line in own)
    last = max(line.time_ms for line in own)
    workers = {line.fields.get("worker") for line in own} - {None}
    related = [
        line
        for line in lines
        if first <= line.time_ms <= last
        and not _mentions(line, job_id)
        and (
            line.event in _SCHEDULER_EVENTS
            or (
                line.event in _WORKER_EVENTS
                and line.fields.get("worker") in workers
            )
        )
    ]
    relevant = sorted([*own, *related], key=lambda line: line.time_ms)
    return Explanation(relevant, unreadable, _cause(relevant))


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    values = [
        fields.pop(name, None) for name in ("time_ms", "instance", "event")
    ]
    time_ms, instance, event = values
    if not isinstance(time_ms, int) or not isinstance(event, str):
        return None
    return LogLine(time_ms, str(instance), event, fields)


def _mentions(line: LogLine, job_id: str) -> bool:
    return any(
        job_id in value
        for value in line.fields.values()
        if isinstance(value, str)
    )


def _cause(lines: list[LogLine]) -> str:
    events: dict[str, list[LogLine]] = {}
    for line in lines:
        events.setdefault(line.event, []).append(line)
    ended = events.get("job_ended", [])
    if ended and ended[-1].fields.get("state") == "failed":
        return _failure_cause(ended[-1], events)
    if "job_accepted" not in events and "request_refused" in events:
        fields = events["request_refused"][-1].fields
        return (
            f"never accepted: {fields.get('status')} {fields.get('code')}: "
            f"{fields.get('cause')}"
        )
    delay = _delay_cause(events)
    if delay:
        return delay
    if not ended:
        return "accepted, but these lines do not show its end"
    return f"ended as {ended[-1].fields.get('state')} without failure or delay"


def _failure_cause(ended: LogLine, events: dict[str, list[LogLine]]) -> str:
    workers = sorted(
        {
            str(line.fields.get("worker"))
            for line in events.get("run_ended", [])
            if line.fields.get("how") in ("failed", "crashed")
        }
    )
    cause = f"failed: {ended.fields.get('cause')}, on {', '.join(workers)}"
    if "worker_quarantined" in events:
        return (
            f"{cause}; a worker among them was quarantined because its runs"
            " failed"
        )
    return cause


def _long_runs(events: dict[str, list[LogLine]]) -> list[str]:
    """Returns the run that exceeded its expected time by the largest factor."""
    sources = {
        line.fields.get("run"): line.fields.get("expected_from")
        for line in events.get("run_starting", [])
    }
    longest, longest_ratio = "", _MAX_TIME_RATIO
    for line in events.get("run_ended", []):
        took_s, expected_s = (
            line.fields.get(name) for name in ("took_s", "expected_s")
        )
        if (
            line.fields.get("how") != "done"
            or not isinstance(took_s, int | float)
            or not isinstance(expected_s, int | float)
            or expected_s <= 0
            or took_s / expected_s <= longest_ratio
        ):
            continue
        longest_ratio = took_s / expected_s
        run = line.fields.get("run")
        longest = (
            f"run {run} took {took_s} s on {line.fields.get('worker')},"
            f" expected {expected_s} s ({sources.get(run) or 'unknown source'})"
        )
    return [longest] if longest else []


def _delay_cause(events: dict[str, list[LogLine]]) -> str:
    """Returns the causes of a delay of a job, or an empty string."""
    parts = []
    lost = [
        line
        for line in events.get("run_ended", [])
        if line.fields.get("how") in ("lapsed", "crashed")
    ]
    if lost:
        workers = sorted({str(line.fields.get("worker")) for line in lost})
        parts.append(f"{len(lost)} runs were lost with {', '.join(workers)}")
    parts.extend(_long_runs(events))
    if "recovered" in events:
        parts.append("another instance was elected in the meantime")
    if "write_failed" in events:
        count = len(events["write_failed"])
        parts.append(f"{count} writes of progress to the store failed")
    withdrawn = sum(
        line.fields.get("outcome") == "evacuated"
        for line in events.get("start_refused", [])
    )
    if withdrawn:
        parts.append(
            f"{withdrawn} starts were withdrawn as their zone was evacuated"
        )
    for name, problem in (
        ("start_unanswered", "start commands got no answer"),
        ("start_refused", "starts were refused or withdrawn"),
        ("advice_failed", "calls for advice failed"),
    ):
        if name in events:
            parts.append(f"{len(events[name])} {problem}")
    if "step_waiting" in events:
        longest = max(
            events["step_waiting"],
            key=lambda line: float(line.fields.get("waited_s", 0)),
        ).fields
        parts.append(
            f"step {longest.get('step')} waited {longest.get('waited_s')} s:"
            f" {longest.get('reason')}"
        )
    queued, started = events.get("job_queued"), events.get("job_began")
    ended = events.get("job_ended")
    if queued and started:
        waited_ms = started[0].time_ms - queued[0].time_ms
        if waited_ms > _MAX_START_WAIT_MS:
            parts.append(f"waited {waited_ms} ms for its first start")
    late_s = ended[-1].fields.get("late_s", 0) if ended else 0
    if late_s:
        parts.append(f"ended {late_s} s after its latency objective")
    if (parts and queued) and queued[0].fields.get("is_over_fair_rate"):
        parts.append(
            "it was above the fair rate of its workspace, so that it came after"
            " other work of equal lateness"
        )
    return "delayed: " + "; ".join(parts) if parts else ""
