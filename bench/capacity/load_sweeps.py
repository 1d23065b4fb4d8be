"""Sweeps load and configuration on one deployment in two regions."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools

from bench import caller
from bench import layouts
from bench import plans
from bench.capacity import configuration
from bench.capacity import deployment
from bench.capacity import fitting
from bench.capacity import reading
from bench.capacity import registry
from bench.capacity import urgent

_ZONES = (
    layouts.Zone("centro-a", "centro", 2, 12),
    layouts.Zone("occidente-a", "occidente", 1, 4),
)
_TEAM = "claims"
_REQUESTS_PER_S = (0, 40, 80, 120)
_JOBS_PER_S = (0, 4, 8, 12)
_TASKS_PER_JOB = (1, 4, 8, 12)
_FIXED_JOBS_PER_S = 2
_SERVICES = (0, 32, 64)
_TASKS_PER_SERVICE_JOB = 8
_RUN_MS = 20
_TASK_RUN_MS = 200
_START_TIMEOUT_S = 10.0
# Time for answers that are still in flight at the end of a window.
_IN_FLIGHT_GRACE_S = 1.5

REQUESTS = deployment.Variable(
    "quick requests", "requests/s of the entry", "requests/s"
)
JOBS = deployment.Variable("jobs", "jobs/s of the zone", "jobs/s")
STARTS = deployment.Variable(
    "starts of job tasks", "starts/s of the zone", "starts/s"
)
RUNNING = deployment.Variable(
    "running tasks", "running tasks of the entry", "running tasks"
)


class _Load:
    """Sends work to the first zone of a deployment."""

    def __init__(self, running: deployment.Deployment) -> None:
        self._running = running
        self._caller = running.caller
        self._zone = running.zone.name
        self._tasks: set[asyncio.Task[None]] = set()
        self._done = 0

    async def requests(self, per_s: int, seconds: float) -> deployment.Value:
        """Sends requests; returns the rate of answered requests."""
        plan = plans.RequestPlan(
            "lookup",
            _TEAM,
            self._running.target.layout.queues.lookup,
            _RUN_MS,
        )

        async def send() -> None:
            token = caller.new_token()
            done = await self._caller.request(plan, token, self._zone)
            self._done += done.outcome == "answered"

        total = await self._send_evenly(send, per_s, seconds)
        return deployment.Value(total / len(self._running.zone_ids), total)

    async def jobs(
        self, per_s: int, tasks: int, seconds: float
    ) -> deployment.Value:
        """Submits jobs; returns the rate of accepted jobs."""
        plan = _job(self._running, tasks, _TASK_RUN_MS)

        async def send() -> None:
            token = caller.new_token()
            _, job_id = await self._caller.submit(plan, token, self._zone)
            self._done += bool(job_id)

        total = await self._send_evenly(send, per_s, seconds)
        # The coordinator handles all jobs of the zone.
        return deployment.Value(total, total)

    async def services(self, tasks: int) -> None:
        """Starts service tasks, which run until the deployment ends."""
        plan = _job(self._running, _TASKS_PER_SERVICE_JOB, None)
        plan = plan._replace(queue=self._running.target.layout.queues.service)
        for _ in range(tasks // _TASKS_PER_SERVICE_JOB):
            token = caller.new_token()
            await self._caller.submit(plan, token, self._zone)

    async def settle(self) -> None:
        """Waits until all requests are answered, for a bounded time."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_START_TIMEOUT_S)

    async def _send_evenly(
        self, send: Callable[[], Awaitable[None]], per_s: int, seconds: float
    ) -> float:
        """Sends at a constant rate; returns the completions per second."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        before = self._done
        for number in itertools.count():
            at_s = start_s + (number + 0.5) / per_s if per_s else None
            if at_s is None or at_s >= start_s + seconds:
                break
            await asyncio.sleep(max(0.0, at_s - loop.time()))
            task = asyncio.ensure_future(send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.sleep(max(0.0, start_s + seconds - loop.time()))
        return (self._done - before) / (loop.time() - start_s)


def _job(
    running: deployment.Deployment, tasks: int, run_ms: int | None
) -> plans.JobPlan:
    """Returns a batch job of small tasks."""
    return plans.JobPlan(
        "bundle",
        _TEAM,
        running.target.layout.queues.batch,
        tasks,
        run_ms,
        expected_run_ms=_TASK_RUN_MS,
        millicores=100,
        memory_mib=64,
    )


@registry.sweep
async def sweep_loads(scale: registry.Scale) -> list[fitting.Point]:
    """Varies the configuration and the load.

    Running tasks come last, since they run until the deployment ends.
    """
    points: list[fitting.Point] = []
    async with deployment.run_deployment(_ZONES, scale) as running:
        load = _Load(running)
        points += await configuration.sweep(running, scale)
        for per_s in scale.pick(_REQUESTS_PER_S):
            scale.print_line(f"{per_s} requests/s")

            async def send(
                seconds: float, per_s: int = per_s
            ) -> deployment.Value:
                return await load.requests(per_s, seconds)

            points += await running.measure_window(REQUESTS, send)
            await load.settle()
        points += await _sweep_jobs(running, load, scale)
        points += await _sweep_running(running, load, scale)
    return points


async def _sweep_jobs(
    running: deployment.Deployment, load: _Load, scale: registry.Scale
) -> list[fitting.Point]:
    """Varies the rate of jobs, then the number of tasks per job."""
    points: list[fitting.Point] = []

    for per_s in scale.pick(_JOBS_PER_S):
        scale.print_line(f"{per_s} jobs/s")

        async def submit(
            seconds: float, per_s: int = per_s
        ) -> deployment.Value:
            return await load.jobs(per_s, 1, seconds)

        points += await running.measure_window(JOBS, submit)
        await load.settle()

    for tasks in scale.pick(_TASKS_PER_JOB):
        scale.print_line(f"{tasks} tasks of {_FIXED_JOBS_PER_S} jobs/s")

        async def start(seconds: float, tasks: int = tasks) -> deployment.Value:
            value = await load.jobs(_FIXED_JOBS_PER_S, tasks, seconds)
            starts = value.total * tasks
            return deployment.Value(starts, starts)

        points += await running.measure_window(STARTS, start)
        await load.settle()
    await asyncio.sleep(_IN_FLIGHT_GRACE_S)
    return points


async def _sweep_running(
    running: deployment.Deployment, load: _Load, scale: registry.Scale
) -> list[fitting.Point]:
    """Varies the number of running tasks, which is read from the instances."""
    points: list[fitting.Point] = []
    started = 0
    for tasks in scale.pick(_SERVICES):
        scale.print_line(f"{tasks} running tasks")
        await load.services(tasks - started)
        started = tasks
        await asyncio.sleep(_IN_FLIGHT_GRACE_S)

        async def count(seconds: float) -> deployment.Value:
            await deployment.idle(seconds)
            seen = await reading.read(running.target, first=True)
            total = reading.running_tasks(seen, running.zone_ids)
            return deployment.Value(total / len(running.zone_ids), total)

        points += await running.measure_window(RUNNING, count)
        plan = _job(running, 1, _RUN_MS)
        points += await urgent.measure(running, plan, tasks)
    return points
