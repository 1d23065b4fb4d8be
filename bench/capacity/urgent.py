"""Time from the submission of an urgent job to the start of its task."""

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
    """Returns the waiting times of a few urgent jobs, one by one.

    Args:
        running: The deployment; its first zone gets the jobs.
        plan: Job to submit.
        tasks: How many tasks run in the zone meanwhile.
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
        started_ms = await _start_of(running, token)
        points.append(fitting.Point(series, tasks, started_ms - sent_ms))
    return points


async def _start_of(running: deployment.Deployment, token: str) -> float:
    """Returns when a task of the job started on its worker.

    Raises:
        ReadyError: It did not in time.
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

    await waiting.until(has_started, _TIMEOUT_S, "an urgent job did not start")
    return float(found[0]["at_ms"])
