"""Client load: submits jobs and checks the reported states."""

from __future__ import annotations

import asyncio
import json
import random

from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.web import client
from marigoldgap.web import messages
from soak import instances

_ANSWER_TIMEOUT_S = 3.5
_ATTEMPTS = 5
_REFUSALS = frozenset({401, 404, 429, 503})


class Callers:
    """Submits jobs to randomly chosen instances.

    Args:
        random_source: Source of random numbers.
        entry_instances: The entry instances.
        queue: Host and path prefix of the queue, and the API key.
    """

    def __init__(
        self,
        random_source: random.Random,
        entry_instances: list[instances.Instance],
        queue: tuple[str, str, str],
    ) -> None:
        self.accepted: dict[str, str] = {}
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.violations: list[str] = []
        self._random_source = random_source
        self._instances = entry_instances
        self._host, self._prefix, self._key = queue
        # Idle keep-alive connections by address; a closed one is dropped.
        self._idle_connections: dict[str, list[client.Connection]] = {}

    async def submit(self, job_id: str) -> None:
        """Submits a job with retries and records the outcome.

        The job is unknown, not refused, if an attempt had no response or a
        502 or 504, after which the job may have been accepted.
        """
        body = json_object.encode(self._random_job_body())
        may_be_accepted = False
        for _ in range(_ATTEMPTS):
            answer = await self._call("POST", job_id, body)
            if answer is not None and answer.status < 300:
                self.accepted[job_id] = "accepted"
                return
            may_be_accepted = (
                may_be_accepted or answer is None or answer.status in (502, 504)
            )
            await asyncio.sleep(self._random_source.uniform(0.05, 0.4))
        (self.unknown if may_be_accepted else self.refused).add(job_id)

    async def fetch_state(self, job_id: str) -> str | None:
        """Returns the state of a job as an instance reports it.

        Returns:
            The state, or None if there was no response with status 200.
        """
        answer = await self._call("GET", job_id, b"")
        if answer is None:
            return None
        if answer.status == 410 and job_id in self.accepted:
            self.violations.append(
                f"accepted job {job_id} is reported as gone (410)"
            )
        if answer.status != 200:
            return None
        return str(json.loads(answer.body)["state"])

    async def wait_for_all(self, deadline_s: float) -> list[str]:
        """Polls the accepted jobs until all are completed or time is up.

        Args:
            deadline_s: How long to poll, in seconds.

        Returns:
            The jobs that were not completed in time, in order.
        """
        pending_jobs = set(self.accepted)
        loop = asyncio.get_running_loop()
        end = loop.time() + deadline_s
        while pending_jobs and loop.time() < end:
            for job_id in list(pending_jobs):
                state = await self.fetch_state(job_id)
                if state == "completed":
                    pending_jobs.discard(job_id)
                elif state in ("failed", "cancelled"):
                    self.violations.append(
                        f"accepted job {job_id} is reported as {state}"
                    )
                    pending_jobs.discard(job_id)
            await asyncio.sleep(0.2)
        return sorted(pending_jobs)

    def _random_job_body(self) -> dict[str, object]:
        cpu = self._random_source.choice((1000, 2000, 4000))
        run_ms = self._random_source.randint(50, 1500)
        payload = f"ms={run_ms} cpu={cpu}"
        step: dict[str, object] = {
            "count": self._random_source.randint(1, 6),
            "cpu": cpu,
            "memMb": 64,
            "estimateMs": run_ms,
            "gang": self._random_source.random() < 0.3,
        }
        steps = [step]
        if self._random_source.random() < 0.3:
            steps.append({**step, "after": [0], "gang": False})
        return {"spec": payload, "steps": steps}

    async def _call(
        self, method: str, job_id: str, body: bytes
    ) -> messages.Response | None:
        instance = self._random_source.choice(self._instances)
        head = client.request_head(
            method,
            self._host,
            self._prefix + job_id,
            len(body),
            (("Authorization", f"Token {self._key}"),),
        )
        idle = self._idle_connections.setdefault(instance.callers_address, [])
        while idle and not idle[-1].is_open:
            idle.pop()
        try:
            connection = (
                idle.pop()
                if idle
                else await client.connect(instance.callers_address)
            )
        except errors.MarigoldgapError:
            # Nothing was sent, so the job cannot have been accepted.
            return messages.Response(503)
        try:
            answer = await connection.exchange(head, body, _ANSWER_TIMEOUT_S)
        except errors.MarigoldgapError:
            connection.close()
            return None
        if connection.is_open:
            idle.append(connection)
        return answer
