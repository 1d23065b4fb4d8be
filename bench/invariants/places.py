"""Invariants about where and how much work runs."""

from __future__ import annotations

import collections

from bench import evidence
from bench import spans
from bench.invariants import registry

# "Each in force everywhere within 10 s", section 1.6.
IN_FORCE_MS = 10_000
# "After a few seconds", section 1.2: the list lags by 2 s and a lease answer
# brings the state within 1 s.
LEAVING_GRACE_MS = 5_000


@registry.invariant("two_places")
def two_places(case: registry.Case) -> list[str]:
    """Counts starts of a task while it ran in another place."""
    running: dict[str, int] = collections.Counter()
    most = {job.token: job.tasks for job in case.evidence.jobs}
    found = []
    for step in spans.steps(case.history):
        span = step.span
        change = 1 if step.is_start else -1
        names = {span.unit: 1}
        if span.mode == "job" and span.token in most:
            names[f"all tasks of {span.token}"] = most[span.token]
        for name in names:
            running[name] += change
        exceeded = [
            name for name, allowed in names.items() if running[name] > allowed
        ]
        if step.is_start and exceeded:
            found.append(f"{exceeded[0]} on {span.worker} at {step.at_ms}")
    return found


@registry.invariant("overcommitted")
def overcommitted(case: registry.Case) -> list[str]:
    """Counts starts that exceed the worker, whether refused or not."""
    found = [
        f"refused {record['task_id']} on {record['worker']}"
        for record in case.evidence.records
        if record["event"] == "violation"
    ]
    capacity = case.evidence.layout.capacity._asdict()
    used: dict[str, collections.Counter[str]] = {}
    for step in spans.steps(case.history):
        worker = step.span.worker
        total = used.setdefault(worker, collections.Counter())
        if not step.is_start:
            total.subtract(step.span.resources)
            continue
        total.update(step.span.resources)
        if any(total[name] > limit for name, limit in capacity.items()):
            found.append(f"{step.span.task_id} on {worker}")
    return found


@registry.invariant("over_limit")
def over_limit(case: registry.Case) -> list[str]:
    """Counts starts above the team's limit over the whole fleet."""
    limits = _Limits(case.evidence)
    running: dict[str, int] = collections.Counter()
    found = []
    for step in spans.steps(case.history):
        team = step.span.team
        running[team] += 1 if step.is_start else -1
        limit = limits.highest(team, step.at_ms)
        if step.is_start and running[team] > limit:
            found.append(f"{team}: {running[team]} > {limit} at {step.at_ms}")
    return found


@registry.invariant("work_to_leaving")
def work_to_leaving(case: registry.Case) -> list[str]:
    """Counts work sent to a worker that had been leaving for seconds."""
    since: dict[str, int] = {}
    found = []
    for record in case.evidence.records:
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
            found.append(f"{record['task_id']} to {worker}")
    return found


class _Limits:
    """The limit of each team over time."""

    def __init__(self, run: evidence.Evidence) -> None:
        self._disturbances = run.disturbances
        self._limits: dict[str, list[tuple[int, int]]] = {
            team.name: [(0, team.limit)] for team in run.layout.teams
        }
        for change in sorted(run.limits, key=lambda change: change.at_ms):
            self._limits[change.team].append((change.at_ms, change.limit))

    def highest(self, team: str, at_ms: float) -> int:
        """Returns the highest limit that may still be in force."""
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
        """Returns when a change accepted at a time holds everywhere."""
        in_force_ms = accepted_ms + IN_FORCE_MS
        for each in sorted(self._disturbances, key=lambda one: one.from_ms):
            if each.from_ms <= in_force_ms and each.to_ms >= accepted_ms:
                in_force_ms = max(in_force_ms, each.to_ms + IN_FORCE_MS)
        return in_force_ms
