"""Explains teams, queues and jobs; a decorator registers each kind."""

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


def registered() -> Mapping[str, Explanation]:
    """Returns the registered explanations by kind, e.g. `team`."""
    return _explanations


def _explain(kind: str) -> Callable[[Explanation], Explanation]:
    """Registers an explanation under a kind."""

    def add(explanation: Explanation) -> Explanation:
        _explanations[kind] = explanation
        return explanation

    return add


@_explain("team")
async def _explain_team(
    operator_services: services.OperatorServices, name: str
) -> list[str]:
    rules = operator_services.config.state.rules
    rule = rules.teams.get(name)
    if rule is None:
        hint = problems.suggest_word(name, rules.teams, "teams")
        raise errors.NotFoundError(f"there is no team '{name}'; {hint}")
    cluster_load = operator_services.status.cluster_load()
    result = preview.preview(
        rules, rules, cluster_load, operator_services.targets
    )
    effect = next(team for team in result.teams if team.team == name)
    waiting = cluster_load.waiting.get(name, 0)
    total = sum(team.share for team in rules.teams.values())
    return [
        f"Team {name} is set on line {rule.line}: {rule.asked_by}.",
        f"It has share {rule.share:g} of {total:g}: in a full cluster, with "
        f"all teams at work, it may run {effect.full_after:.1f} tasks.",
        f"With today's demand it may run {effect.target_after:.1f} tasks.",
        f"It runs {effect.running} of at most {rule.limit} tasks and has "
        f"{waiting} waiting.",
        _waiting_reason(effect, rule.limit, waiting),
    ]


@_explain("queue")
async def _explain_queue(
    operator_services: services.OperatorServices, name: str
) -> list[str]:
    rules = operator_services.config.state.rules
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
async def _explain_job(
    operator_services: services.OperatorServices, name: str
) -> list[str]:
    return list(await operator_services.jobs.explain(name))


def _waiting_reason(
    effect: preview.TeamEffect, limit: int, waiting: int
) -> str:
    """Returns a sentence on why work of a team waits."""
    if not waiting:
        return "Nothing waits."
    if effect.running >= limit:
        return "Its work waits because the limit is reached."
    if effect.running >= effect.target_after:
        return "Its work waits because other teams are below their share."
    return "Its work starts as soon as a worker with enough room is free."
