"""Explains teams, queues and jobs; a registry filled by a decorator."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

from marigoldgap import errors
from marigoldgap.operators import services
from marigoldgap.rules import preview
from marigoldgap.rules import problems

Explanation = Callable[[services.OperatorServices, str], Awaitable[list[str]]]
_explanations: dict[str, Explanation] = {}


def known() -> Mapping[str, Explanation]:
    """Returns the explanations by the kind of thing that they explain."""
    return _explanations


def _explain(kind: str) -> Callable[[Explanation], Explanation]:
    """Registers an explanation."""

    def add(explanation: Explanation) -> Explanation:
        _explanations[kind] = explanation
        return explanation

    return add


@_explain("team")
async def _team(parts: services.OperatorServices, name: str) -> list[str]:
    rules = parts.config.state.rules
    rule = rules.teams.get(name)
    if rule is None:
        hint = problems.suggest_word(name, rules.teams, "teams")
        raise errors.NotFoundError(f"there is no team '{name}'; {hint}")
    situation = parts.status.situation()
    result = preview.preview(rules, rules, situation, parts.targets)
    effect = next(each for each in result.teams if each.team == name)
    waiting = situation.waiting.get(name, 0)
    total = sum(each.share for each in rules.teams.values())
    return [
        f"Team {name} is set on line {rule.line}: {rule.asked_by}.",
        f"It has share {rule.share:g} of {total:g}: in a full cluster, with "
        f"all teams at work, it may run {effect.full_after:.1f} tasks.",
        f"With today's demand it may run {effect.target_after:.1f} tasks.",
        f"It runs {effect.running} of at most {rule.limit} tasks and has "
        f"{waiting} waiting.",
        _reason(effect, rule.limit, waiting),
    ]


@_explain("queue")
async def _queue(parts: services.OperatorServices, name: str) -> list[str]:
    rules = parts.config.state.rules
    rule = rules.queues.get(name)
    if rule is None:
        hint = problems.suggest_word(name, rules.queues, "queues")
        raise errors.NotFoundError(f"there is no queue '{name}'; {hint}")
    access = (
        "It needs a key; work runs for the team of the key."
        if rule.keyed
        else f"It needs no key; work runs for team {rule.team}."
    )
    deadline = (
        "Its work has the general deadline."
        if rule.deadline_s is None
        else f"Its work must start within {rule.deadline_s} s."
    )
    return [
        f"Queue {name} is set on line {rule.line}: {rule.asked_by}.",
        f"Its work is of kind {rule.kind} and runs on service {rule.service}.",
        access,
        deadline,
        f"Its priority is {rule.priority}; it counts among equally served "
        f"teams only.",
    ]


@_explain("job")
async def _job(parts: services.OperatorServices, name: str) -> list[str]:
    return list(await parts.jobs.explain(name))


def _reason(effect: preview.TeamEffect, limit: int, waiting: int) -> str:
    """Says why work of a team waits."""
    if not waiting:
        return "Nothing waits."
    if effect.running >= limit:
        return "Its work waits because the limit is reached."
    if effect.running >= effect.target_after:
        return "Its work waits because other teams are below their share."
    return "Its work starts as soon as a worker with enough room is free."
