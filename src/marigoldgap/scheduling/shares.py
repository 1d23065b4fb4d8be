"""Weighted max-min fairness with dominant resources."""

from __future__ import annotations

from collections.abc import Mapping

from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources


def max_min_targets(
    capacity: float,
    shares: Mapping[str, float],
    demands: Mapping[str, float],
) -> dict[str, float]:
    """Returns how much of the capacity each team should get.

    No team gets more than it demands; what it leaves goes to the others in
    proportion to their shares. Teams without a positive share get what is left
    over when every other team is satisfied, in equal parts.

    Args:
        capacity: What is to be divided, in any unit.
        shares: Weight of each team; teams that are not named have none.
        demands: What each team could use, in the unit of `capacity`.
    """
    weights = {team: max(0.0, shares.get(team, 0.0)) for team in demands}
    weighted = {team for team in demands if weights[team] > 0}
    targets = _fill(capacity, weights, demands, weighted)
    left = capacity - sum(targets.values())
    others = set(demands) - weighted
    equal = dict.fromkeys(others, 1.0)
    return targets | _fill(left, equal, demands, others)


def _fill(
    capacity: float,
    weights: Mapping[str, float],
    demands: Mapping[str, float],
    teams: set[str],
) -> dict[str, float]:
    """Raises all teams in step; each stops where its demand is met."""
    targets: dict[str, float] = {}
    left = max(0.0, capacity)
    weight = sum(weights[team] for team in teams)
    for team in sorted(teams, key=lambda name: demands[name] / weights[name]):
        part = left * weights[team] / weight if weight > 0 else 0.0
        targets[team] = max(0.0, min(demands[team], part))
        left -= targets[team]
        weight -= weights[team]
    return targets


def dominant_usage(
    used: Mapping[str, model.Resources], total: model.Resources
) -> dict[str, float]:
    """Returns the dominant fraction of the total that each team uses."""
    return {
        team: resources.dominant_fraction(amount, total)
        for team, amount in used.items()
    }


def distance_to_targets(
    usage: Mapping[str, float], targets: Mapping[str, float]
) -> float:
    """Returns the part of the capacity that is with the wrong team.

    0 means that every team has its target; the unit is that of the arguments.
    """
    teams = set(usage) | set(targets)
    differences = (
        abs(usage.get(team, 0.0) - targets.get(team, 0.0)) for team in teams
    )
    return sum(differences) / 2
