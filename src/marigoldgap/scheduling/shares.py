"""Weighted max-min fairness and dominant resource usage of teams."""

from __future__ import annotations

from collections.abc import Mapping

from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources


def max_min_targets(
    capacity: float,
    shares: Mapping[str, float],
    demands: Mapping[str, float],
) -> dict[str, float]:
    """Returns the amount of the capacity that each team should get.

    No team gets more than its demand. Capacity that it leaves goes to the other
    teams in proportion to their shares. Teams without a positive share divide
    equally what remains after the demands of all other teams are met.

    Args:
        capacity: Amount to divide, in any unit.
        shares: Weight of each team; 0 for a team that is missing.
        demands: Demand of each team, in the unit of `capacity`.
    """
    weights = {team: max(0.0, shares.get(team, 0.0)) for team in demands}
    weighted = {team for team in demands if weights[team] > 0}
    targets = _water_fill(capacity, weights, demands, weighted)
    left = capacity - sum(targets.values())
    others = set(demands) - weighted
    equal = dict.fromkeys(others, 1.0)
    return targets | _water_fill(left, equal, demands, others)


def _water_fill(
    capacity: float,
    weights: Mapping[str, float],
    demands: Mapping[str, float],
    teams: set[str],
) -> dict[str, float]:
    """Raises all targets in proportion to weight, each up to its demand."""
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
    """Returns each team's dominant usage as a fraction of the total."""
    return {
        team: resources.dominant_fraction(amount, total)
        for team, amount in used.items()
    }


def distance_to_targets(
    usage: Mapping[str, float], targets: Mapping[str, float]
) -> float:
    """Returns the amount of capacity that the wrong teams use.

    This is half the sum of the absolute differences, in the unit of the
    arguments; 0 means that every team has its target.
    """
    teams = set(usage) | set(targets)
    differences = (
        abs(usage.get(team, 0.0) - targets.get(team, 0.0)) for team in teams
    )
    return sum(differences) / 2
