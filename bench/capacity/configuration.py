"""Sweeps the number of teams and the rate of rule changes."""

from __future__ import annotations

import asyncio
import itertools
import time

from bench import layouts
from bench import waiting
from bench.capacity import deployment
from bench.capacity import fitting
from bench.capacity import registry

_TEAMS = (2, 140, 280, 420)
_CHANGES_PER_10_S = (0, 5, 10, 20)
_IN_FORCE_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_CHANGES_TIMED = 3
_TEN_S = 10
_MILLISECONDS_PER_SECOND = 1_000

TEAMS = deployment.Variable("teams in the rules", "teams", "teams")
CHANGES = deployment.Variable("rule changes", "changes/s", "changes/s")


class _Rules:
    """Applies rules with a number of teams; each version differs."""

    def __init__(self, running: deployment.Deployment) -> None:
        self._target = running.target
        self._numbers = itertools.count(1)
        self._teams = 0
        self._version = 0

    async def apply(self, teams: int) -> None:
        """Applies rules with a new share of the first team.

        Raises:
            ReadyError: They were not accepted within the timeout.
        """
        self._teams = teams
        entry = self._target.wired.entries[0]
        seen = await self._target.operator.read_rules(entry)
        base = seen.version if seen else 0

        async def is_accepted() -> bool:
            version = await self._target.operator.apply_rules(
                base, self._text(), "bench", entry
            )
            self._version = version or 0
            return version is not None

        await waiting.until(
            is_accepted,
            _IN_FORCE_TIMEOUT_S,
            f"rules with {teams} teams were not accepted within"
            f" {_IN_FORCE_TIMEOUT_S:g} s",
        )

    async def time_in_force(self) -> float:
        """Applies a change; returns the time until it is in force everywhere.

        Returns:
            Milliseconds until all entry instances have the new version, or
            until the timeout.
        """
        start_s = time.monotonic()
        await self.apply(self._teams)
        operator = self._target.operator
        while time.monotonic() - start_s < _IN_FORCE_TIMEOUT_S:
            seen = await asyncio.gather(
                *map(operator.read_rules, self._target.wired.entries)
            )
            if all(each and each.version >= self._version for each in seen):
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        return (time.monotonic() - start_s) * _MILLISECONDS_PER_SECOND

    def _text(self) -> str:
        """Returns the text of the rules; the first team's share changes."""
        first = deployment.TEAMS[0]
        changed = first._replace(share=10 + next(self._numbers) % 90)
        more = tuple(
            layouts.Team(f"team-{number}", 1, 100)
            for number in range(self._teams - len(deployment.TEAMS))
        )
        layout = self._target.layout._replace(
            teams=(changed, *deployment.TEAMS[1:], *more)
        )
        return layouts.rules_text(layout)


async def sweep(
    running: deployment.Deployment, scale: registry.Scale
) -> list[fitting.Point]:
    """Varies the rate of changes with few teams, then the number of teams."""
    rules = _Rules(running)
    await rules.apply(len(deployment.TEAMS))
    points: list[fitting.Point] = []
    for wanted in scale.pick(_CHANGES_PER_10_S):
        scale.print_line(f"{wanted} rule changes in {_TEN_S} s")
        points += await _changes(running, rules, wanted / _TEN_S)
    for teams in scale.pick(_TEAMS):
        scale.print_line(f"{teams} teams in the rules")
        await rules.apply(teams)
        points += await _teams(running, rules, teams)
    await rules.apply(len(deployment.TEAMS))
    return points


async def _changes(
    running: deployment.Deployment, rules: _Rules, per_s: float
) -> list[fitting.Point]:
    """Measures a window with a constant rate of rule changes."""

    async def work(seconds: float) -> deployment.Value:
        start_s = time.monotonic()
        count = 0
        while per_s and (at_s := (count + 0.5) / per_s) < seconds:
            await asyncio.sleep(max(0.0, start_s + at_s - time.monotonic()))
            await rules.apply(len(deployment.TEAMS))
            count += 1
        await asyncio.sleep(max(0.0, start_s + seconds - time.monotonic()))
        rate = count / (time.monotonic() - start_s)
        return deployment.Value(rate, rate)

    return await running.measure_window(CHANGES, work)


async def _teams(
    running: deployment.Deployment, rules: _Rules, teams: int
) -> list[fitting.Point]:
    """Measures an idle window and the time until changes are in force."""

    async def work(seconds: float) -> deployment.Value:
        await deployment.idle(seconds)
        return deployment.Value(teams, teams)

    points = await running.measure_window(TEAMS, work)
    series = fitting.Series(
        TEAMS.sweep, "in force everywhere", "deployment", "teams", "ms"
    )
    for _ in range(_CHANGES_TIMED):
        waited_ms = await rules.time_in_force()
        points.append(fitting.Point(series, teams, waited_ms))
    return points
