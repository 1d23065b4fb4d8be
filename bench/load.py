"""Open-loop load generator: arrivals do not wait for answers."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

from bench import caller
from bench import cluster
from bench import collector
from bench import jobs
from bench import mix
from bench import plans
from marigoldgap import clock

# The import registers the kinds of work.
_MIX = mix
_SETTLE_TIMEOUT_S = 90.0


class Rates(NamedTuple):
    """Mean arrivals per second."""

    requests_per_s: float = 120.0
    jobs_per_s: float = 12.0


class Load:
    """Sends seeded work to a deployment.

    Args:
        target: The deployment.
        collected: Source of the worker records.
        seed: Equal seeds send the same work at the same times.
        rates: Arrival rates.
    """

    def __init__(
        self,
        target: cluster.Cluster,
        collected: collector.Collector,
        seed: int,
        rates: Rates,
    ) -> None:
        self._rates = rates
        self._seed = seed
        self._source = plans.Source(random.Random(seed), target.layout)
        self._tasks: set[asyncio.Task[None]] = set()
        self.caller = caller.Caller(target, self._source.random)
        self.jobs = jobs.Jobs(self.caller, collected)
        self.from_ms = clock.monotonic_ms()

    async def run(self, duration_s: float) -> None:
        """Starts new work for a time, without waiting for its outcome."""
        self.from_ms = clock.monotonic_ms()
        await asyncio.gather(
            self._generate(
                plans.REQUESTS, self._rates.requests_per_s, duration_s
            ),
            self._generate(plans.JOBS, self._rates.jobs_per_s, duration_s),
        )

    async def settle(self) -> None:
        """Waits until requests are answered and jobs have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        await self.jobs.settle(_SETTLE_TIMEOUT_S)

    async def _generate(
        self, stream: str, per_s: float, duration_s: float
    ) -> None:
        """Starts the work of one stream as a Poisson process."""
        if per_s <= 0:
            return
        # Each stream has its own random generator: with a shared one, the
        # interleaving of the two streams would change what they draw.
        source = self._source._replace(
            random=random.Random(f"{self._seed}-{stream}")
        )
        loop = asyncio.get_running_loop()
        at_s = loop.time()
        end_s = at_s + duration_s
        while (at_s := at_s + source.random.expovariate(per_s)) < end_s:
            plan = plans.draw(stream, source)
            await asyncio.sleep(max(0.0, at_s - loop.time()))
            task = asyncio.create_task(self._perform(plan))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _perform(self, plan: plans.Plan) -> None:
        """Sends a request with its repeats, or runs a job."""
        zone = self.caller.random_zone()
        if isinstance(plan, plans.JobPlan):
            await self.jobs.run(plan, zone)
            return
        token = caller.new_token()
        await asyncio.gather(
            self.caller.request(plan, token, zone),
            *(
                self._repeat(plan, token, zone, delay_s)
                for delay_s in plan.repeats_s
            ),
        )

    async def _repeat(
        self, plan: plans.RequestPlan, token: str, zone: str, delay_s: float
    ) -> None:
        """Sends a request again to another zone after a delay."""
        await asyncio.sleep(delay_s)
        other = self.caller.random_other_zone(zone)
        await self.caller.request(plan, token, other)
