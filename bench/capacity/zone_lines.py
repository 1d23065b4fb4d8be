"""Costs of coordinators, the table service, the link and the list."""

from __future__ import annotations

from bench.capacity import role_lines


def _coordinator() -> tuple[role_lines.SlopeCost, ...]:
    """Returns the costs of a coordinator for its zone."""
    role = "coordinator"
    teams = "teams in the rules"
    return (
        role_lines.SlopeCost(
            role,
            "processor, jobs",
            "rows, dispatch, ends",
            "jobs",
            "processor",
            role,
            role_lines.JOBS_PER_S / role_lines.ZONES,
            "jobs/s of the zone",
            role_lines.CPU_LIMIT,
        ),
        role_lines.SlopeCost(
            role,
            "processor, teams",
            "digest, allowance reviews",
            teams,
            "processor",
            role,
            role_lines.TEAMS,
            "teams",
            role_lines.CPU_LIMIT,
        ),
        role_lines.SlopeCost(
            role,
            "memory, teams",
            "rules, accounts, digests",
            teams,
            "memory",
            role,
            role_lines.TEAMS,
            "teams",
            role_lines.MEMORY_LIMIT,
        ),
        role_lines.SlopeCost(
            role,
            "processor, all starts are job tasks",
            "PlaceTasks, results, ends",
            "starts of job tasks",
            "processor",
            role,
            role_lines.STARTS_PER_S / role_lines.ZONES,
            "starts/s of the zone",
        ),
        role_lines.SlopeCost(
            role,
            "processor, one look at the barrier",
            "TermBarrier",
            "barrier",
            "is_settled",
            "process",
            role_lines.WORKERS / role_lines.ZONES,
            "workers",
        ),
        role_lines.SlopeCost(
            role,
            "memory, running tasks of a zone",
            "free-capacity index",
            "index, 365 workers",
            "memory",
            "process",
            role_lines.TASKS / role_lines.ZONES,
            "tasks",
        ),
        role_lines.SlopeCost(
            role,
            "term reports of a zone",
            "TermReport, once a term",
            "term report, one worker",
            "size",
            "process",
            role_lines.TASKS / role_lines.ZONES,
            "tasks",
        ),
        role_lines.SlopeCost(
            role,
            "digest of all teams",
            "ZoneDigest, once a minute and link",
            "zone digest",
            "size",
            "process",
            role_lines.TEAMS,
            "changed teams",
        ),
    )


def _platform() -> tuple[role_lines.SlopeCost, ...]:
    """Returns the costs of the table service, the link and the list."""
    loads = (
        (
            "jobs",
            "group commit, reads of rows",
            role_lines.JOBS_PER_S,
            "jobs/s",
        ),
        (
            "rule changes",
            "compare-and-set, polls",
            role_lines.CHANGES_PER_S,
            "changes/s",
        ),
        ("teams in the rules", "allowance rows", role_lines.TEAMS, "teams"),
    )
    found = [
        role_lines.SlopeCost(
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
            role_lines.SlopeCost(
                "instance list",
                measure,
                "read of the list; lookup",
                "instance list",
                measure,
                "process",
                role_lines.WORKERS,
                "instances",
            )
        )
    return tuple(found)


ZONE_COSTS = (*_coordinator(), *_platform())
COORDINATOR_PROCESSOR_COSTS = tuple(
    single
    for single in ZONE_COSTS
    if single.name in ("processor, jobs", "processor, teams")
)
