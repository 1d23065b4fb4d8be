"""Preview of the effects of a rules change before it is applied."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from marigoldgap.rules import interfaces
from marigoldgap.rules import model
from marigoldgap.rules import sentences

# Smaller differences of a target are rounding errors, not a gain or a loss.
_MIN_TARGET_CHANGE = 0.005


class ClusterLoad(NamedTuple):
    """Capacity and demand of the cluster at the time of the preview, in tasks.

    Attributes:
        capacity: Number of slots of all workers.
        running: Number of running tasks by team.
        waiting: Number of waiting tasks by team.
    """

    capacity: float
    running: Mapping[str, int]
    waiting: Mapping[str, int]


class TeamEffect(NamedTuple):
    """Effect of a rules change on one team.

    Attributes:
        target_before: Tasks that the team may run with the current demand.
        full_before: Tasks that the team may run if the demand of every team
            equals its limit.
        above_limit: Running tasks above the new limit; they are not stopped,
            but no new task starts until enough of them have ended.
        effect: `gains`, `loses`, `same`, `new` or `removed`.
    """

    team: str
    share_before: float | None
    share_after: float | None
    limit_before: int | None
    limit_after: int | None
    target_before: float
    target_after: float
    full_before: float
    full_after: float
    running: int
    above_limit: int
    effect: str


class Preview(NamedTuple):
    """Effects of a rules change as sentences and as a table of teams."""

    sentences: tuple[str, ...]
    teams: tuple[TeamEffect, ...]


def preview(
    before: model.Rules,
    after: model.Rules,
    load: ClusterLoad,
    targets: interfaces.TargetFunction,
) -> Preview:
    """Returns the effects of a rules change.

    Args:
        before: The rules in force.
        after: The changed rules.
        load: Current capacity and demand of the cluster.
        targets: The function that the scheduler uses to divide the capacity.
    """
    effects = _team_effects(before, after, load, targets)
    texts = [
        *sentences.rule_sentences(before, after),
        *(_target_sentence(each) for each in effects if _is_gain_or_loss(each)),
        *(_above_limit_sentence(each) for each in effects if each.above_limit),
    ]
    return Preview(tuple(texts or ["Nothing changes."]), effects)


def _team_effects(
    before: model.Rules,
    after: model.Rules,
    load: ClusterLoad,
    targets: interfaces.TargetFunction,
) -> tuple[TeamEffect, ...]:
    now = [_current_targets(each, load, targets) for each in (before, after)]
    full = [
        _full_demand_targets(each, load, targets) for each in (before, after)
    ]
    names = sorted({*before.teams, *after.teams})
    return tuple(
        _team_effect(
            before.teams.get(name),
            after.teams.get(name),
            (now[0].get(name, 0.0), now[1].get(name, 0.0)),
            (full[0].get(name, 0.0), full[1].get(name, 0.0)),
            load.running.get(name, 0),
        )
        for name in names
    )


def _team_effect(
    old: model.TeamRule | None,
    new: model.TeamRule | None,
    now: tuple[float, float],
    full: tuple[float, float],
    running: int,
) -> TeamEffect:
    rule = new or old
    assert rule is not None
    limit = new.limit if new else 0
    return TeamEffect(
        rule.name,
        old.share if old else None,
        new.share if new else None,
        old.limit if old else None,
        new.limit if new else None,
        *now,
        *full,
        running,
        max(0, running - limit),
        _effect(old, new, now, full),
    )


def _effect(
    old: model.TeamRule | None,
    new: model.TeamRule | None,
    now: tuple[float, float],
    full: tuple[float, float],
) -> str:
    """Returns the effect: at the current demand, else in a full cluster."""
    if old is None:
        return "new"
    if new is None:
        return "removed"
    for earlier, later in (now, full):
        if later - earlier > _MIN_TARGET_CHANGE:
            return "gains"
        if earlier - later > _MIN_TARGET_CHANGE:
            return "loses"
    return "same"


def _current_targets(
    rules: model.Rules,
    load: ClusterLoad,
    targets: interfaces.TargetFunction,
) -> Mapping[str, float]:
    """Returns the targets for the current demand, bounded by the limits."""
    demands = {
        name: float(
            min(
                rule.limit,
                load.running.get(name, 0) + load.waiting.get(name, 0),
            )
        )
        for name, rule in rules.teams.items()
    }
    return targets(load.capacity, _shares(rules), demands)


def _full_demand_targets(
    rules: model.Rules,
    load: ClusterLoad,
    targets: interfaces.TargetFunction,
) -> Mapping[str, float]:
    """Returns the targets if the demand of every team equals its limit."""
    demands = {name: float(rule.limit) for name, rule in rules.teams.items()}
    return targets(load.capacity, _shares(rules), demands)


def _shares(rules: model.Rules) -> dict[str, float]:
    return {name: rule.share for name, rule in rules.teams.items()}


def _is_gain_or_loss(effect: TeamEffect) -> bool:
    return effect.effect in ("gains", "loses")


def _target_sentence(effect: TeamEffect) -> str:
    now = f"{effect.target_before:.1f} to {effect.target_after:.1f} tasks"
    full = f"{effect.full_before:.1f} to {effect.full_after:.1f} tasks"
    return (
        f"Team {effect.team} {effect.effect}: with today's demand from {now}, "
        f"in a full cluster from {full}."
    )


def _above_limit_sentence(effect: TeamEffect) -> str:
    limit = effect.limit_after or 0
    return (
        f"Team {effect.team} runs {effect.running} tasks, "
        f"{effect.above_limit} above its limit of {limit}. They are not "
        f"stopped; no new task of the team starts until enough have ended."
    )
