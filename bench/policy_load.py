"""Seeded load of the two deployments, for comparing scheduling policies.

Workers, workspaces and kinds of work follow section 1.5 of the design. Rates
and run times are assumptions: they fill about 95% of the slots, with bursts
above the capacity, since policies differ only when work has to wait.
"""

from __future__ import annotations

from collections.abc import Iterator
import random
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap.scheduling import model

# Capacity of every worker of both deployments (section 1.5).
CAPACITY = model.Resources(8, 64, 16_000, 65_536, 0)
WORKERS = 24
WORKERS_PER_RACK = 8


class Team(NamedTuple):
    """A workspace, its share and its fraction of the submitted work."""

    name: str
    share: float
    part: float


class Stream(NamedTuple):
    """A kind of work that arrives at random times.

    Attributes:
        rate: Mean arrivals per second outside of bursts.
        run_ms: Mean run time; actual run times are exponentially distributed.
        burst: Factor of the rate during bursts, which take a third of the time.
        deadline_ms: Time from arrival to the deadline, or None.
    """

    queue: str
    kind: str
    rate: float
    run_ms: int
    resources: model.Resources
    burst: float = 1.0
    deadline_ms: int | None = None
    priority: int = 0


class Layout(NamedTuple):
    """One deployment."""

    name: str
    service: str
    zones: tuple[str, ...]
    teams: tuple[Team, ...]
    streams: tuple[Stream, ...]

    def workers(self) -> list[model.WorkerInfo]:
        """Returns the workers of the deployment."""
        return [
            model.WorkerInfo(
                f"w{number}",
                self.zones[number * len(self.zones) // WORKERS],
                f"rack{number // WORKERS_PER_RACK}",
                "127.0.0.1:1",
                self.service,
                CAPACITY,
            )
            for number in range(WORKERS)
        ]


class Arrival(NamedTuple):
    """A task with its arrival time and its actual run time."""

    at_ms: int
    task: model.TaskSpec
    run_ms: int


_QUETZAL = Layout(
    "quetzal",
    "claims-engine",
    ("centro-a", "centro-b", "occidente-a"),
    (
        Team("claims", 40, 0.55),
        Team("appeals", 20, 0.25),
        Team("clinics", 15, 0.05),
        Team("audits", 10, 0.05),
        Team("travel", 10, 0.05),
        Team("public", 5, 0.05),
    ),
    (
        Stream("status", "quick", 150.0, 50, model.Resources()),
        Stream(
            "eligibility", "quick", 60.0, 600, model.Resources(1, 1, 500, 512)
        ),
        Stream(
            "bundles",
            "batch",
            5.0,
            15_000,
            model.Resources(1, 1, 2_000, 8_192),
            burst=2.0,
            deadline_ms=120_000,
            priority=5,
        ),
        Stream(
            "appendix",
            "batch",
            0.6,
            10_000,
            model.Resources(4, 4, 8_000, 24_576),
            deadline_ms=300_000,
        ),
        Stream(
            "intake",
            "service",
            0.05,
            60_000,
            model.Resources(1, 8, 1_000, 2_048),
        ),
    ),
)
_CORDERO = Layout(
    "cordero",
    "agenda-mediacion",
    ("quito-norte", "cuenca", "guayaquil-centro"),
    (
        Team("courts", 30, 0.60),
        Team("family", 25, 0.20),
        Team("labour", 15, 0.05),
        Team("rural", 15, 0.05),
        Team("tenancy", 10, 0.05),
        Team("public", 5, 0.05),
    ),
    (
        Stream("confirm", "quick", 100.0, 80, model.Resources()),
        Stream(
            "reschedule",
            "quick",
            25.0,
            1_500,
            model.Resources(1, 1, 1_000, 1_024),
            burst=2.0,
        ),
        Stream(
            "nightly",
            "batch",
            3.5,
            25_000,
            model.Resources(1, 1, 3_000, 12_288),
            burst=1.5,
            deadline_ms=600_000,
        ),
        Stream(
            "conflicts",
            "batch",
            0.4,
            8_000,
            model.Resources(6, 6, 6_000, 16_384),
            deadline_ms=60_000,
        ),
        Stream(
            "rooms", "service", 0.05, 60_000, model.Resources(1, 8, 500, 1_024)
        ),
    ),
)
LAYOUTS = {layout.name: layout for layout in (_QUETZAL, _CORDERO)}
_BURST_PERIOD_MS = 30_000
_BURST_MS = 10_000


def find(name: str) -> Layout:
    """Returns a layout by name.

    Raises:
        NotFoundError: There is no layout with this name.
    """
    if name not in LAYOUTS:
        raise errors.NotFoundError(
            f"no layout {name!r}; known: {', '.join(sorted(LAYOUTS))}"
        )
    return LAYOUTS[name]


def arrivals(layout: Layout, seed: int, duration_s: int) -> list[Arrival]:
    """Returns the arrivals by time; equal seeds give equal arrivals."""
    source = random.Random(f"{layout.name}/{seed}")
    end_ms = duration_s * clock.MILLISECONDS_PER_SECOND
    found = [
        arrival
        for stream in layout.streams
        for arrival in _stream(layout, stream, source, end_ms)
    ]
    return sorted(found, key=lambda arrival: (arrival.at_ms, arrival.task))


def _stream(
    layout: Layout, stream: Stream, source: random.Random, end_ms: int
) -> Iterator[Arrival]:
    parts = [team.part for team in layout.teams]
    at_ms = 0.0
    number = 0
    while True:
        in_burst = at_ms % _BURST_PERIOD_MS < _BURST_MS
        rate = stream.rate * (stream.burst if in_burst else 1.0)
        at_ms += source.expovariate(rate) * clock.MILLISECONDS_PER_SECOND
        if at_ms >= end_ms:
            return
        number += 1
        team = source.choices(layout.teams, parts)[0]
        task = model.TaskSpec(
            f"{stream.queue}-{number}",
            team.name,
            stream.queue,
            stream.kind,
            stream.resources,
            layout.service,
            deadline_ms=_deadline(stream, int(at_ms)),
            expected_run_ms=stream.run_ms,
            priority=stream.priority,
        )
        run_ms = max(1, int(source.expovariate(1 / stream.run_ms)))
        yield Arrival(int(at_ms), task, run_ms)


def _deadline(stream: Stream, at_ms: int) -> int | None:
    if stream.deadline_ms is None:
        return None
    return at_ms + stream.deadline_ms
