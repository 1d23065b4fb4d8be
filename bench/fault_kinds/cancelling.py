"""Faults that cancel many jobs at once."""

from __future__ import annotations

import asyncio

from bench import caller
from bench import faults
from bench import plans

_MIN_JOBS = 50
_MAX_JOBS = 300
_RUN_MS = 2_000


@faults.fault("cancel-wave")
async def cancel_wave(context: faults.Context) -> None:
    """Submits a group of jobs and cancels all of them with one request."""
    target = context.target
    team = context.random.choice(target.layout.keyed_teams).name
    zone = context.random.choice(target.layout.zones).name
    count = context.random.randrange(_MIN_JOBS, _MAX_JOBS)
    plan = plans.JobPlan(
        "wave",
        team,
        target.layout.queues.batch,
        tasks=2,
        run_ms=_RUN_MS,
        expected_run_ms=_RUN_MS,
        group=f"wave-{caller.new_token()}",
    )
    tokens = [caller.new_token() for _ in range(count)]
    accepted = await asyncio.gather(
        *(context.jobs.submit(plan, token, zone) for token in tokens)
    )
    found = sum(job is not None for job in accepted)
    await context.pause(0, 2)
    done = await context.jobs.cancel_group(team, zone, plan.group)
    context.record(f"cancel-wave: {done} of {found} jobs cancelled")
