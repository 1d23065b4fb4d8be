"""Costs of coordinators, the table service, the link and the list."""

from __future__ import annotations

from bench.capacity import role_costs


def _coordinator() -> tuple[role_costs.SlopeCost, ...]:
    """Returns the costs of a coordinator for its zone."""
    role = "coordinator"
    teams = "teams in the rules"
    return (
        role_costs.SlopeCost(
            role,
            "processor, jobs",
            "rows, dispatch, ends",
            "jobs",
            "processor",
            role,
            role_costs.JOBS_PER_S / role_costs.ZONES,
            "jobs/s of the zone",
            role_costs.CPU_LIMIT,
        ),
        role_costs.SlopeCost(
            role,
            "processor, teams",
            "digest, allowance reviews",
            teams,
            "processor",
            role,
            role_costs.TEAMS,
            "teams",
            role_costs.CPU_LIMIT,
        ),
        role_costs.SlopeCost(
            role,
            "memory, teams",
            "rules, accounts, digests",
            teams,
            "memory",
            role,
            role_costs.TEAMS,
            "teams",
            role_costs.MEMORY_LIMIT,
        ),
        role_costs.SlopeCost(
            role,
            "processor, all starts are job tasks",
            "PlaceTasks, results, ends",
            "starts of job tasks",
            "processor",
            role,
            role_costs.STARTS_PER_S / role_costs.ZONES,
            "starts/s of the zone",
        ),
        role_costs.SlopeCost(
            role,
            "processor, one look at the barrier",
            "TermBarrier",
            "barrier",
            "is_settled",
            "process",
            role_costs.WORKERS / role_costs.ZONES,
            "workers",
        ),
        role_costs.SlopeCost(
            role,
            "memory, running tasks of a zone",
            "free-capacity index",
            "index, 365 workers",
            "memory",
            "process",
            role_costs.TASKS / role_costs.ZONES,
            "tasks",
        ),
        role_costs.SlopeCost(
            role,
            "term reports of a zone",
            "TermReport, once a term",
            "term report, one worker",
            "size",
            "process",
            role_costs.TASKS / role_costs.ZONES,
            "tasks",
        ),
        role_costs.SlopeCost(
            role,
            "digest of all teams",
            "ZoneDigest, once a minute and link",
            "zone digest",
            "size",
            "process",
            role_costs.TEAMS,
            "changed teams",
        ),
    )


def _platform() -> tuple[role_costs.SlopeCost, ...]:
    """Returns the costs of the table service, the link and the list."""
    loads = (
        (
            "jobs",
            "group commit, reads of rows",
            role_costs.JOBS_PER_S,
            "jobs/s",
        ),
        (
            "rule changes",
            "compare-and-set, polls",
            role_costs.CHANGES_PER_S,
            "changes/s",
        ),
        ("teams in the rules", "allowance rows", role_costs.TEAMS, "teams"),
    )
    found = [
        role_costs.SlopeCost(
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
            role_costs.SlopeCost(
                "instance list",
                measure,
                "read of the list; lookup",
                "instance list",
                measure,
                "process",
                role_costs.WORKERS,
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
