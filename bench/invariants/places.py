"""Checks of the invariants on where and how much work runs."""

from __future__ import annotations

import collections

from bench import observations
from bench import spans
from bench.invariants import registry

# Section 1.6: "Each in force everywhere within 10 s".
IN_FORCE_MS = 10_000
# Section 1.2: "After a few seconds". The instance list lags by 2 s, and lease
# answers report the state within 1 s.
LEAVING_GRACE_MS = 5_000


@registry.invariant("two_places")
def two_places(case: registry.Case) -> list[str]:
    """Finds starts of work that already runs, and of too many job tasks."""
    running: dict[str, int] = collections.Counter()
    max_running = {job.token: job.tasks for job in case.observations.jobs}
    found = []
    for step in spans.steps(case.history):
        span = step.span
        change = 1 if step.is_start else -1
        names = {span.work_id: 1}
        if span.mode == "job" and span.token in max_running:
            names[f"all tasks of {span.token}"] = max_running[span.token]
        for name in names:
            running[name] += change
        exceeded = [
            name for name, allowed in names.items() if running[name] > allowed
        ]
        if step.is_start and exceeded:
            found.append(
                f"{exceeded[0]}: too many at once after a start on"
                f" {span.worker} at {step.at_ms} ms"
            )
    return found


@registry.invariant("overcommitted")
def overcommitted(case: registry.Case) -> list[str]:
    """Finds starts beyond the capacity of a worker, refused or not."""
    found = [
        f"start of {record['task_id']} refused by {record['worker']}"
        for record in case.observations.records
        if record["event"] == "violation"
    ]
    capacity = case.observations.layout.capacity._asdict()
    used: dict[str, collections.Counter[str]] = {}
    for step in spans.steps(case.history):
        worker = step.span.worker
        total = used.setdefault(worker, collections.Counter())
        if not step.is_start:
            total.subtract(step.span.resources)
            continue
        total.update(step.span.resources)
        if any(total[name] > limit for name, limit in capacity.items()):
            found.append(
                f"{step.span.task_id} exceeds the capacity of {worker}"
            )
    return found


@registry.invariant("over_limit")
def over_limit(case: registry.Case) -> list[str]:
    """Finds starts above the limit of a team in the whole deployment."""
    limits = _Limits(case.observations)
    running: dict[str, int] = collections.Counter()
    found = []
    for step in spans.steps(case.history):
        team = step.span.team
        running[team] += 1 if step.is_start else -1
        limit = limits.highest(team, step.at_ms)
        if step.is_start and running[team] > limit:
            found.append(
                f"{team}: {running[team]} running tasks, limit {limit},"
                f" at {step.at_ms} ms"
            )
    return found


@registry.invariant("work_to_leaving")
def work_to_leaving(case: registry.Case) -> list[str]:
    """Finds work sent to a worker long after it began to leave."""
    since: dict[str, int] = {}
    found = []
    for record in case.observations.records:
        worker = record["worker"]
        if record["event"] == "leaving":
            if record["leaving"]:
                since.setdefault(worker, record["at_ms"])
            else:
                since.pop(worker, None)
            continue
        is_work = record["event"] == "start" or (
            record["event"] == "refused" and record["code"] == "leaving"
        )
        left_ms = since.get(worker, record["at_ms"])
        if is_work and record["at_ms"] - left_ms > LEAVING_GRACE_MS:
            found.append(
                f"{record['task_id']} sent to {worker}, which is leaving"
            )
    return found


class _Limits:
    """The limits of teams over time, with the delay of changes."""

    def __init__(self, run: observations.Observations) -> None:
        self._disturbances = run.disturbances
        self._limits: dict[str, list[tuple[int, int]]] = {
            team.name: [(0, team.limit)] for team in run.layout.teams
        }
        for change in sorted(run.limits, key=lambda change: change.at_ms):
            self._limits[change.team].append((change.at_ms, change.limit))

    def highest(self, team: str, at_ms: float) -> int:
        """Returns the highest limit that may be in force at a time."""
        highest = 0
        known = self._limits.get(team, [])
        for index, (from_ms, limit) in enumerate(known):
            last = index + 1 == len(known)
            if from_ms <= at_ms and (
                last or at_ms < self._in_force_ms(known[index + 1][0])
            ):
                highest = max(highest, limit)
        return highest

    def _in_force_ms(self, accepted_ms: int) -> int:
        """Returns when a change must be in force everywhere.

        Disturbances that overlap the interval extend it.
        """
        in_force_ms = accepted_ms + IN_FORCE_MS
        for each in sorted(self._disturbances, key=lambda one: one.from_ms):
            if each.from_ms <= in_force_ms and each.to_ms >= accepted_ms:
                in_force_ms = max(in_force_ms, each.to_ms + IN_FORCE_MS)
        return in_force_ms
