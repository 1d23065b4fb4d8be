"""Numbers of section 1.6 and the slopes that each of them multiplies."""

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
_TEAMS = 420
_SECONDS_A_DAY = 86_400
CHANGES_PER_S = 21_000 / _SECONDS_A_DAY
_JOBS_PER_S = 150_000 / _SECONDS_A_DAY


class Single(NamedTuple):
    """A cost with one slope and no base.

    Attributes:
        role: Who pays.
        mechanism: What carries the cost.
        measured_role: Role of the series in the run.
        number: What the slope is multiplied with.
        unit: Unit of the number; must be that of the fit.
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


IDLE = tuple(
    (role, measure, mechanism, limit)
    for role in ("member", "coordinator")
    for measure, mechanism, limit in (
        ("processor", "heartbeats, leases, lists, rule changes", CPU_LIMIT),
        ("memory", "links to peers and workers", MEMORY_LIMIT),
        ("peer control sent", "heartbeats, rule changes", BYTES_LIMIT),
    )
)


def per_entry(entries: int) -> tuple[Single, ...]:
    """Returns the costs that are divided among the instances of a zone."""
    lease = ("workers of an entry", "lease bytes", "entry")
    renewal = "lease renewal, poll of changes"
    of_entry = "workers of the entry"
    owned = WORKERS / ZONES / entries
    busy = ("running tasks", "lease bytes", "entry")
    usage = "inventory and usage in lease answers"
    of_tasks = "running tasks of the entry"
    tasks = TASKS / ZONES / entries
    return (
        Single(
            "entry",
            "processor, requests",
            "HTTP in, HTTP to the worker",
            "quick requests",
            "processor",
            "entry",
            STARTS_PER_S / ZONES / entries,
            "requests/s of the entry",
        ),
        Single(
            "entry",
            "processor, running tasks",
            usage,
            "running tasks",
            "processor",
            "entry",
            tasks,
            of_tasks,
        ),
        Single(
            "entry",
            "memory, running tasks",
            usage,
            "running tasks",
            "memory",
            "entry",
            tasks,
            of_tasks,
        ),
        Single(
            "entry",
            "lease bytes, workers",
            renewal,
            *lease,
            owned,
            of_entry,
            BYTES_LIMIT,
        ),
        Single(
            "entry",
            "lease bytes, running tasks",
            usage,
            *busy,
            tasks,
            of_tasks,
            BYTES_LIMIT,
        ),
        Single(
            "worker side",
            "lease bytes, idle",
            renewal,
            *lease,
            1,
            of_entry,
            BYTES_LIMIT,
        ),
        Single(
            "worker side",
            "lease bytes, tasks",
            usage,
            *busy,
            TASKS / WORKERS,
            of_tasks,
            BYTES_LIMIT,
        ),
    )


def _coordinator() -> tuple[Single, ...]:
    """Returns what a coordinator pays for its zone."""
    role = "coordinator"
    teams = "teams in the rules"
    return (
        Single(
            role,
            "processor, jobs",
            "rows, dispatch, ends",
            "jobs",
            "processor",
            role,
            _JOBS_PER_S / ZONES,
            "jobs/s of the zone",
            CPU_LIMIT,
        ),
        Single(
            role,
            "processor, teams",
            "digest, allowance reviews",
            teams,
            "processor",
            role,
            _TEAMS,
            "teams",
            CPU_LIMIT,
        ),
        Single(
            role,
            "memory, teams",
            "rules, accounts, digests",
            teams,
            "memory",
            role,
            _TEAMS,
            "teams",
            MEMORY_LIMIT,
        ),
        Single(
            role,
            "processor, all starts are job tasks",
            "PlaceTasks, results, ends",
            "starts of job tasks",
            "processor",
            role,
            STARTS_PER_S / ZONES,
            "starts/s of the zone",
        ),
        Single(
            role,
            "processor, one look at the barrier",
            "TermBarrier",
            "barrier",
            "is_settled",
            "process",
            WORKERS / ZONES,
            "workers",
        ),
        Single(
            role,
            "memory, running tasks of a zone",
            "free-capacity index",
            "index, 365 workers",
            "memory",
            "process",
            TASKS / ZONES,
            "tasks",
        ),
        Single(
            role,
            "term reports of a zone",
            "TermReport, once a term",
            "term report, one worker",
            "size",
            "process",
            TASKS / ZONES,
            "tasks",
        ),
        Single(
            role,
            "digest of all teams",
            "ZoneDigest, once a minute and link",
            "zone digest",
            "size",
            "process",
            _TEAMS,
            "changed teams",
        ),
    )


def _platform() -> tuple[Single, ...]:
    """Returns what the table service, the link and the list pay."""
    loads = (
        ("jobs", "group commit, reads of rows", _JOBS_PER_S, "jobs/s"),
        ("rule changes", "compare-and-set, polls", CHANGES_PER_S, "changes/s"),
        ("teams in the rules", "allowance rows", _TEAMS, "teams"),
    )
    found = [
        Single(
            role,
            f"{measure}, {sweep}",
            mechanism,
            sweep,
            measure,
            "deployment",
            number,
            unit,
        )
        for role, measure in (
            ("table service", "table reads"),
            ("table service", "table writes"),
            ("link between regions", "link between regions"),
        )
        for sweep, mechanism, number, unit in loads
    ]
    for measure in (
        "size",
        "changed list",
        "unchanged list",
        "workers of a zone",
    ):
        found.append(
            Single(
                "instance list",
                measure,
                "read of the list; lookup",
                "instance list",
                measure,
                "process",
                WORKERS,
                "instances",
            )
        )
    return tuple(found)


SINGLE = (*_coordinator(), *_platform())
