"""Faults of operators: concurrent rule changes and withdrawn keys."""

from __future__ import annotations

import asyncio
import re

from bench import caller
from bench import faults
from bench import observations
from bench import operators
from bench import plans
from marigoldgap import clock

_READ_INTERVAL_S = 1.0
_MAX_READS = 15
_PROBE_INTERVAL_S = 0.5
_PROBES = 40
_PROBE_RUN_MS = 5


@faults.fault("operator-race")
async def operator_race(context: faults.Context) -> None:
    """Changes the limit of a team as two operators at the same time."""
    if not context.claim("rules"):
        return
    try:
        await _change_concurrently(context)
    finally:
        context.release("rules")


@faults.fault("key-withdraw")
async def key_withdraw(context: faults.Context) -> None:
    """Replaces and withdraws the key of a team, and keeps using the old one."""
    target = context.target
    team = context.random.choice(target.layout.keyed_teams).name
    if not context.claim(f"key {team}"):
        return
    try:
        old = target.keys[team]
        target.keys[team] = await target.operator.grant(team, 5)
        entry = context.random.choice(target.wired.entries)
        withdrawal = await target.operator.withdraw(old.key_id, entry)
        context.record(f"key-withdraw {old.key_id}: {withdrawal is not None}")
        if withdrawal is None:
            return
        context.withdrawals.append(withdrawal)
        await _keep_using(context, old)
    except operators.OperationError as error:
        context.record(f"key-withdraw: {error.detail}")
    finally:
        context.release(f"key {team}")


async def _change_concurrently(context: faults.Context) -> None:
    """Applies two changes to the same version at random entry instances."""
    target = context.target
    before = await target.operator.read_rules(
        context.random.choice(target.wired.entries)
    )
    if before is None:
        return
    team = context.random.choice(target.layout.teams)
    limits = [
        max(1, round(team.limit * context.random.uniform(0.5, 1.2)))
        for _ in range(2)
    ]
    sent_ms = clock.monotonic_ms()
    texts = {
        _with_limit(before.text, team.name, limit): limit for limit in limits
    }
    versions = await asyncio.gather(
        *(
            target.operator.apply_rules(
                before.version,
                text,
                f"operator-{index}",
                context.random.choice(target.wired.entries),
            )
            for index, text in enumerate(texts)
        )
    )
    context.record(f"operator-race on {before.version}: {versions}")
    for text, version in zip(texts, versions, strict=True):
        if version is not None:
            _record_limit(context, before, team.name, texts[text], sent_ms)
            return
    await _resolve_unanswered(context, before, team.name, texts, sent_ms)


async def _resolve_unanswered(
    context: faults.Context,
    before: observations.VersionSeen,
    team: str,
    texts: dict[str, int],
    sent_ms: int,
) -> None:
    """Reads the rules to learn whether an unanswered change took effect."""
    for _ in range(_MAX_READS):
        for entry in context.target.wired.entries:
            seen = await context.target.operator.read_rules(entry)
            if seen is not None and seen.text in texts:
                limit = texts[seen.text]
                _record_limit(context, before, team, limit, sent_ms)
                return
        await asyncio.sleep(_READ_INTERVAL_S)


def _record_limit(
    context: faults.Context,
    before: observations.VersionSeen,
    team: str,
    limit: int,
    sent_ms: int,
) -> None:
    """Records a changed limit.

    A higher limit is allowed from the time of its request, a lower one is
    required from the time at which its acceptance was seen.
    """
    found = re.search(rf"^team {team} .*limit (\d+)", before.text, re.MULTILINE)
    raised = found is not None and limit > int(found.group(1))
    at_ms = sent_ms if raised else clock.monotonic_ms()
    context.limits.append(observations.LimitChange(team, limit, at_ms))


def _with_limit(text: str, team: str, limit: int) -> str:
    """Returns the rules with a new limit for one team."""
    return re.sub(
        rf"^(team {team} .*limit )\d+",
        rf"\g<1>{limit}",
        text,
        flags=re.MULTILINE,
    )


async def _keep_using(context: faults.Context, old: operators.Key) -> None:
    """Sends requests with a withdrawn key at a fixed interval."""
    sender = context.jobs.sender
    plan = plans.RequestPlan(
        "withdrawn",
        old.team,
        context.target.layout.queues.lookup,
        _PROBE_RUN_MS,
    )
    for _ in range(_PROBES):
        if context.is_ending:
            return
        zone = sender.random_zone()
        await sender.request(plan, caller.new_token(), zone, old.key)
        await asyncio.sleep(_PROBE_INTERVAL_S)
