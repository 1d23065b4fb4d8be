"""Submits, cancels and tracks the jobs of a run until they end."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from bench import caller
from bench import collector
from bench import observations
from bench import plans
from marigoldgap import clock

_RETRY_INTERVAL_S = 1.0
_CANCEL_ATTEMPTS = 60
_MAX_CONCURRENT_QUERIES = 20
_OK = 200
_ACKNOWLEDGED = (200, 202)
_FINAL_STATES = ("failed", "impossible", "cancelled", "finished")


class Jobs:
    """Submits jobs, cancels some, and polls the state of the others.

    Args:
        sender: Sends requests on behalf of callers.
        collected: Source of the worker records, which show finished tasks.
    """

    def __init__(
        self, sender: caller.Caller, collected: collector.Collector
    ) -> None:
        self.sender = sender
        self._collected = collected
        self._jobs: dict[str, observations.Job] = {}
        self._zones: dict[str, str] = {}

    @property
    def accepted(self) -> list[observations.Job]:
        """All accepted jobs."""
        return list(self._jobs.values())

    async def run(self, plan: plans.JobPlan, zone: str) -> None:
        """Submits a job and cancels it if the plan includes a cancellation."""
        token = caller.new_token()
        job = await self.submit(plan, token, zone)
        if job is not None and plan.cancel_after_s is not None:
            await asyncio.sleep(plan.cancel_after_s)
            await self.cancel(token)

    async def submit(
        self, plan: plans.JobPlan, token: str, zone: str
    ) -> observations.Job | None:
        """Submits a job; returns it, or None if it was not accepted."""
        done, job_id = await self.sender.submit(plan, token, zone)
        if done.outcome != "answered" or not job_id:
            return None
        job = observations.Job(
            token=token,
            job_id=job_id,
            team=plan.team,
            tasks=plan.tasks,
            idempotent=plan.idempotent,
            accepted_ms=clock.monotonic_ms(),
            endless=plan.run_ms is None,
        )
        self._jobs[token] = job
        self._zones[token] = zone
        return job

    async def cancel(self, token: str) -> None:
        """Cancels a job; retries until acknowledged, for a bounded time."""
        job = self._jobs[token]
        path = f"/v1/jobs/{job.job_id}"
        await self._send_cancellation(
            "DELETE", self._zones[token], path, job.team, None
        )

    async def cancel_group(self, team: str, zone: str, group: str) -> int:
        """Cancels a group of jobs; retries for a bounded time.

        Returns:
            The number of cancelled jobs; 0 if no attempt was acknowledged.
        """
        return await self._send_cancellation(
            "POST", zone, "/v1/jobs/cancel", team, {"group": group}
        )

    async def _send_cancellation(
        self, method: str, zone: str, path: str, team: str, value: Any
    ) -> int:
        """Sends a cancellation and records the jobs in the answer.

        A job that is not in the answer had already ended.

        Returns:
            The number of cancelled jobs.
        """
        for _ in range(_CANCEL_ATTEMPTS):
            reply = await self.sender.send(method, zone, path, team, value)
            if reply is not None and reply.status in _ACKNOWLEDGED:
                answer = reply.json()
                return self._record_cancelled(answer["cancelled"])
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return 0

    def _record_cancelled(self, job_ids: Iterable[str]) -> int:
        """Marks jobs as cancelled and returns their number."""
        found = set(job_ids)
        for token, job in self._jobs.items():
            if job.job_id in found:
                self._jobs[token] = job._replace(cancelled=True)
        return len(found)

    async def settle(self, timeout_s: float) -> None:
        """Cancels services and waits until every job has ended.

        Args:
            timeout_s: Time after which the last states are read once more.
        """
        endless = [
            job.token
            for job in self._jobs.values()
            if job.endless and not job.cancelled
        ]
        await asyncio.gather(*(self.cancel(token) for token in endless))
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while loop.time() < deadline_s and (remaining := self.open_jobs()):
            # Oldest first and few at a time, since queries add load.
            queried = remaining[:_MAX_CONCURRENT_QUERIES]
            await asyncio.gather(*(self._query_state(job) for job in queried))
            await asyncio.sleep(_RETRY_INTERVAL_S)
        for job in self.open_jobs():
            await self._query_state(job)

    def open_jobs(self) -> list[observations.Job]:
        """Returns the jobs that are not known to have ended."""
        return [
            job
            for job in self._jobs.values()
            if not job.cancelled
            and job.reported not in _FINAL_STATES
            and self._collected.finished_tasks(job.token) < job.tasks
        ]

    async def _query_state(self, job: observations.Job) -> None:
        """Queries and records the state of a job."""
        reply = await self.sender.send(
            "GET", self._zones[job.token], f"/v1/jobs/{job.job_id}", job.team
        )
        if reply is None:
            return
        value = reply.json()
        if reply.status == _OK:
            state = str(value["state"])
        else:
            state = f"status {reply.status} {value.get('code', '')}"
        self._jobs[job.token] = job._replace(reported=state)
