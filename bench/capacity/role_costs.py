"""Target size of section 1.6 and the costs of one entry instance."""

from __future__ import annotations

from typing import NamedTuple

from bench.capacity import projection

CPU_LIMIT = projection.Limit(49, "ms/s")
MEMORY_LIMIT = projection.Limit(128, "MiB")
BYTES_LIMIT = projection.Limit(9_000, "B/s")
IN_FORCE_LIMIT = projection.Limit(10_000, "ms")
WORKERS = 19_000
ZONES = 13
STARTS_PER_S = 10_000
TASKS = 140_000
TEAMS = 420
_SECONDS_A_DAY = 86_400
CHANGES_PER_S = 21_000 / _SECONDS_A_DAY
JOBS_PER_S = 150_000 / _SECONDS_A_DAY


class SlopeCost(NamedTuple):
    """A cost of a single slope, without the intercept.

    Attributes:
        role: Role that has the cost.
        mechanism: Mechanism that causes the cost.
        measured_role: Role of the measured series.
        number: Factor of the slope.
        unit: Unit of the number; must be the x unit of the fit.
    """

    role: str
    name: str
    mechanism: str
    sweep: str
    measure: str
    measured_role: str
    number: float
    unit: str
    limit: projection.Limit | None = None


CONTROL_COSTS: tuple[tuple[str, str, str, projection.Limit | None], ...] = (
    tuple(
        (role, measure, mechanism, limit)
        for role in ("member", "coordinator")
        for measure, mechanism, limit in (
            ("processor", "heartbeats, leases, lists, rule changes", CPU_LIMIT),
            ("memory", "links to peers and workers", MEMORY_LIMIT),
            ("peer control sent", "heartbeats, rule changes", BYTES_LIMIT),
            ("peer messages", "heartbeats, rule changes", None),
        )
    )
)


def entry_costs(entries: int) -> tuple[SlopeCost, ...]:
    """Returns the costs that the entry instances of a zone share equally."""
    lease = ("workers of an entry", "lease bytes", "entry")
    renewal = "lease renewal, poll of changes"
    of_entry = "workers of the entry"
    owned = WORKERS / ZONES / entries
    busy = ("running tasks", "lease bytes", "entry")
    usage = "inventory and usage in lease answers"
    of_tasks = "running tasks of the entry"
    tasks = TASKS / ZONES / entries
    return (
        SlopeCost(
            "entry",
            "processor, requests",
            "HTTP in, HTTP to the worker",
            "quick requests",
            "processor",
            "entry",
            STARTS_PER_S / ZONES / entries,
            "requests/s of the entry",
        ),
        SlopeCost(
            "entry",
            "processor, running tasks",
            usage,
            "running tasks",
            "processor",
            "entry",
            tasks,
            of_tasks,
        ),
        SlopeCost(
            "entry",
            "memory, running tasks",
            usage,
            "running tasks",
            "memory",
            "entry",
            tasks,
            of_tasks,
        ),
        SlopeCost(
            "entry",
            "lease exchanges",
            renewal,
            "workers of an entry",
            "lease exchanges",
            "entry",
            owned,
            of_entry,
        ),
        SlopeCost(
            "entry",
            "lease bytes, workers",
            renewal,
            *lease,
            owned,
            of_entry,
            BYTES_LIMIT,
        ),
        SlopeCost(
            "entry",
            "lease bytes, running tasks",
            usage,
            *busy,
            tasks,
            of_tasks,
            BYTES_LIMIT,
        ),
        SlopeCost(
            "worker side",
            "lease bytes, idle",
            renewal,
            *lease,
            1,
            of_entry,
            BYTES_LIMIT,
        ),
        SlopeCost(
            "worker side",
            "lease bytes, tasks",
            usage,
            *busy,
            TASKS / WORKERS,
            of_tasks,
            BYTES_LIMIT,
        ),
    )
