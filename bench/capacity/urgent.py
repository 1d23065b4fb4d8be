"""Measures the time from submitting an urgent job to its task's start."""

from __future__ import annotations

from typing import Any

from bench import caller
from bench import plans
from bench import waiting
from bench.capacity import deployment
from bench.capacity import fitting
from marigoldgap import clock

_STARTS = 3
_TIMEOUT_S = 20.0


async def measure(
    running: deployment.Deployment, plan: plans.JobPlan, tasks: float
) -> list[fitting.Point]:
    """Returns the waiting times of a few urgent jobs, submitted in turn.

    Args:
        running: The deployment; the jobs go to its measured zone.
        plan: Job to submit.
        tasks: Number of tasks that run in the zone meanwhile.
    """
    series = fitting.Series(
        "running tasks", "urgent start", "deployment", "running tasks", "ms"
    )
    points = []
    for _ in range(_STARTS):
        token = caller.new_token()
        sent_ms = clock.monotonic_ms()
        urgent = plan._replace(urgent=True)
        await running.caller.submit(urgent, token, running.zone.name)
        started_ms = await _wait_for_start(running, token)
        points.append(fitting.Point(series, tasks, started_ms - sent_ms))
    return points


async def _wait_for_start(running: deployment.Deployment, token: str) -> float:
    """Returns the monotonic start time of the first task of a job, in ms.

    Raises:
        ReadyError: No task started within the timeout.
    """
    target = running.target
    found: list[dict[str, Any]] = []

    async def has_started() -> bool:
        for control in target.wired.worker_processes():
            records = await target.controls.worker_records(control, 0)
            found.extend(
                record
                for record in records
                if record["event"] == "start" and record["token"] == token
            )
        return bool(found)

    await waiting.until(
        has_started,
        _TIMEOUT_S,
        f"no task of the urgent job {token} started within {_TIMEOUT_S:g} s",
    )
    return float(found[0]["at_ms"])
