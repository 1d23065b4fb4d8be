"""Measures the size and cost of peer messages by their number of items."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from bench.capacity import fitting
from bench.capacity import registry
from bench.capacity import timing
from marigoldgap.entries import codec
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.scheduling import model

_TERM = model.Term(12, "centro-a-entry-1")
_CAPACITY = model.Resources(8, 64, 16_000, 65_536, 0)
_CLOCK = 1 << 58
_TEAMS = (0, 60, 200, 420)
_WORKERS = (4, 40, 80, 120)
_TASKS = (0, 200, 400, 800)
_JOB_ID = "centro-a.0123456789abcdef0123"


def heartbeat(teams: int) -> messages.Heartbeat:
    """Returns a heartbeat with changed usage of a number of teams."""
    return messages.Heartbeat(
        False,
        _TERM,
        345,
        27,
        False,
        (messages.ServiceFree("claims-engine", _CAPACITY),),
        (messages.Count("status", 12),),
        tuple(messages.Count(f"team-{n}", n + 1) for n in range(teams)),
    )


def digest(teams: int) -> job_messages.ZoneDigest:
    """Returns a zone digest with a number of changed teams."""
    return job_messages.ZoneDigest(
        _TERM,
        "centro-a",
        False,
        345,
        _CAPACITY,
        _CAPACITY,
        tuple(
            job_messages.TeamDemand(f"team-{n}", 300 + n, 200 + n, n, 40)
            for n in range(teams)
        ),
    )


def report(workers: int, tasks: int) -> messages.TermReport:
    """Returns a term report; all tasks run on the first worker."""
    running = tuple(
        model.RunningTask(
            f"{_JOB_ID}~{n}~0123456789abcdef0123",
            "centro-a-worker-1",
            f"team-{n % 60}",
            "bundles",
            model.Resources(1, 1, 1_000, 2_048),
            _JOB_ID,
            1,
        )
        for n in range(tasks)
    )
    owned = tuple(
        messages.OwnedReport(
            f"centro-a-worker-{n}",
            "claims-engine",
            _CAPACITY,
            running if n == 0 else (),
        )
        for n in range(workers)
    )
    return messages.TermReport(
        _TERM, True, "0123456789abcdef", owned, (), (), ()
    )


@registry.measurement
def peer_messages(scale: registry.Scale) -> Iterator[fitting.Point]:
    """Yields the size and processor time of four kinds of messages."""
    yield from _message_points(
        "heartbeat", "changed teams", scale.pick(_TEAMS), heartbeat
    )
    yield from _message_points(
        "zone digest", "changed teams", scale.pick(_TEAMS), digest
    )
    yield from _message_points(
        "term report, idle workers",
        "workers",
        scale.pick(_WORKERS),
        lambda count: report(count, 0),
    )
    yield from _message_points(
        "term report, one worker",
        "tasks",
        scale.pick(_TASKS),
        lambda count: report(1, count),
    )


def _message_points(
    name: str,
    unit: str,
    counts: tuple[int, ...],
    build: Callable[[int], Any],
) -> Iterator[fitting.Point]:
    """Yields the points of one kind of message for all counts."""
    for count in counts:
        envelope = codec.Envelope(build(count), clock=_CLOCK)
        data = codec.encode(envelope)
        costs = (
            ("size", "B", len(data)),
            ("encode", "us", timing.best_us(codec.encode, envelope)),
            ("decode", "us", timing.best_us(codec.decode, data)),
        )
        for measure, y_unit, value in costs:
            series = fitting.Series(name, measure, "process", unit, y_unit)
            yield fitting.Point(series, count, value)
