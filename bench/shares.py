"""Measures how far the slot usage of teams is from their shares."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from bench import observations
from bench import spans


def slot_ms(
    found: Iterable[spans.Span], from_ms: int, to_ms: int
) -> dict[str, float]:
    """Returns the slot time of each team within an interval, in slot-ms."""
    used: dict[str, float] = collections.defaultdict(float)
    for span in found:
        end_ms = to_ms if span.end_ms is None else min(span.end_ms, to_ms)
        length = max(0, end_ms - max(span.start_ms, from_ms))
        used[span.team] += length * span.resources["slots"]
    return dict(used)


def targets(
    capacity: float, shares: Mapping[str, float], demands: Mapping[str, float]
) -> dict[str, float]:
    """Returns weighted max-min targets; no team gets more than its demand.

    This is independent of the implementation in the measured program.
    """
    result = dict.fromkeys(demands, 0.0)
    open_teams = {team for team, demand in demands.items() if demand > 0}
    left = capacity
    while open_teams and left > 0:
        weight = sum(shares[team] for team in open_teams)
        level = left / weight
        satisfied = {
            team for team in open_teams if demands[team] <= level * shares[team]
        }
        for team in satisfied or open_teams:
            result[team] = demands[team] if satisfied else level * shares[team]
        if not satisfied:
            break
        left -= sum(demands[team] for team in satisfied)
        open_teams -= satisfied
    return result


def distance(
    run: observations.Observations,
    loaded: Mapping[str, float],
    total: Mapping[str, float],
) -> float | None:
    """Returns the fraction of slot usage above the fair targets, from 0 to 1.

    Args:
        run: Observations of the run.
        loaded: Slot time of each team while work was sent.
        total: Slot time of each team until all work had finished, which
            equals its demand.

    Returns:
        The fraction; None if no slot was used.
    """
    used = sum(loaded.values())
    if not used:
        return None
    shares = {team.name: team.share for team in run.layout.teams}
    wanted = targets(
        used, shares, {team: total.get(team, 0) for team in shares}
    )
    difference = sum(abs(wanted[team] - loaded.get(team, 0)) for team in shares)
    return round(difference / 2 / used, 4)
