"""Client load: submits jobs and checks the reported states."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json
import random
import time

from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.web import client
from marigoldgap.web import messages
from marigoldgap.web import request_heads
from soak import instances
from soak import planned_stops

_ANSWER_TIMEOUT_S = 3.5
_ATTEMPTS = 5
# Longest pause between requests on a connection that is kept in use.
_MAX_PAUSE_S = 0.3
# Longest time for which a connection is kept in use.
_MAX_USE_S = 10.0
# Not a job identifier: the response needs neither the store nor the leader.
_NO_JOB = "none"


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
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        # Jobs for which a cancellation was sent.
        self.cancelled: set[str] = set()
        self.violations: list[str] = []
        self._random_source = random_source
        self._instances = entry_instances
        self._host, self._prefix, self._key = queue
        # Idle keep-alive connections by address; a closed one is dropped.
        self._idle_connections: dict[str, list[client.Connection]] = {}

    async def submit(self, job_id: str, payload: str = "") -> None:
        """Submits a job with retries and records the outcome.

        The job is unknown, not refused, if an attempt had no response or a
        502 or 504, after which the job may have been accepted.

        Args:
            job_id: Identifier of the job.
            payload: Payload of a job of one task; empty for a random job.
        """
        content = _small_job_body(payload) if payload else None
        body = json_object.encode(content or self._random_job_body())
        may_be_accepted = False
        for _ in range(_ATTEMPTS):
            answer = await self._call("POST", job_id, body)
            if answer is not None and answer.status < 300:
                self.accepted.add(job_id)
                return
            may_be_accepted = may_be_accepted or _is_open(answer)
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
        self._check_known(job_id, answer)
        if answer.status != 200:
            return None
        return str(json.loads(answer.body)["state"])

    async def open_connections(
        self, instance: instances.Instance, count: int
    ) -> list[client.Connection]:
        """Opens connections on each of which one request was answered.

        Args:
            instance: The instance.
            count: How many connections to open; those that fail are left out.
        """
        opened = await asyncio.gather(
            *(self._open(instance) for _ in range(count))
        )
        return [each for each in opened if each is not None]

    async def use_until_closed(
        self,
        instance: instances.Instance,
        connection: client.Connection,
        delay_s: float,
    ) -> None:
        """Sends requests on a connection until the server closes it.

        Args:
            instance: The instance at the other end.
            connection: The connection.
            delay_s: Pause before the first request, in seconds.
        """
        await asyncio.sleep(delay_s)
        until_s = time.monotonic() + _MAX_USE_S
        while connection.is_open and time.monotonic() < until_s:
            await self._send_any(instance, connection)
            await asyncio.sleep(self._random_source.uniform(0, _MAX_PAUSE_S))

    async def wait_for_all(
        self, deadline_s: float, may_fail: Callable[[str], bool]
    ) -> list[str]:
        """Polls the accepted jobs until all are completed or time is up.

        Args:
            deadline_s: How long to poll, in seconds.
            may_fail: Returns whether a job may be given up.

        Returns:
            The jobs that were not completed in time, in order.
        """
        pending_jobs = set(self.accepted)
        loop = asyncio.get_running_loop()
        end = loop.time() + deadline_s
        while pending_jobs and loop.time() < end:
            for job_id in list(pending_jobs):
                state = await self.fetch_state(job_id)
                if (
                    state == "completed"
                    or (state == "cancelled" and job_id in self.cancelled)
                    or (state == "failed" and may_fail(job_id))
                ):
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
        answer = await self._exchange(
            instance, connection, method, job_id, body
        )
        if connection.is_open:
            idle.append(connection)
        return answer

    async def _exchange(
        self,
        instance: instances.Instance,
        connection: client.Connection,
        method: str,
        job_id: str,
        body: bytes,
    ) -> messages.Response | None:
        head = request_heads.encode(
            method,
            self._host,
            self._prefix + job_id,
            len(body),
            (("Authorization", f"Token {self._key}"),),
        )
        incarnation = instance.incarnation
        sent_s = time.monotonic()
        try:
            return await connection.exchange(head, body, _ANSWER_TIMEOUT_S)
        except errors.MarigoldgapError as error:
            connection.close()
            has_timed_out = time.monotonic() - sent_s >= _ANSWER_TIMEOUT_S
            if incarnation is not None and not has_timed_out:
                request = f"{method} {job_id} to {instance.name}"
                violation = planned_stops.lost_request(
                    request, sent_s, incarnation, error
                )
                self.violations += [violation] if violation else []
            return None

    async def _open(
        self, instance: instances.Instance
    ) -> client.Connection | None:
        try:
            connection = await client.connect(instance.callers_address)
        except errors.MarigoldgapError:
            return None
        await self._exchange(instance, connection, "GET", _NO_JOB, b"")
        return connection if connection.is_open else None

    async def _send_any(
        self, instance: instances.Instance, connection: client.Connection
    ) -> None:
        """Sends one submission, query or cancellation without a retry."""
        method = self._random_source.choice(("POST", "POST", "GET", "DELETE"))
        if method == "POST" or not self.accepted:
            job_id = f"{self._random_source.getrandbits(64):016x}"
            body = json_object.encode(self._random_job_body())
            answer = await self._exchange(
                instance, connection, "POST", job_id, body
            )
            self._record_submission(job_id, answer)
            return
        job_id = self._random_source.choice(sorted(self.accepted))
        if method == "DELETE":
            self.cancelled.add(job_id)
        answer = await self._exchange(instance, connection, method, job_id, b"")
        if answer is not None:
            self._check_known(job_id, answer)

    def _record_submission(
        self, job_id: str, answer: messages.Response | None
    ) -> None:
        if answer is not None and answer.status < 300:
            self.accepted.add(job_id)
        elif _is_open(answer):
            self.unknown.add(job_id)
        else:
            self.refused.add(job_id)

    def _check_known(self, job_id: str, answer: messages.Response) -> None:
        if answer.status == 410 and job_id in self.accepted:
            self.violations.append(
                f"accepted job {job_id} is reported as gone (410)"
            )


def _small_job_body(payload: str) -> dict[str, object]:
    step = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 200}
    return {"spec": payload, "steps": [step]}


def _is_open(answer: messages.Response | None) -> bool:
    """Returns whether the job of a failed submission may be accepted."""
    return answer is None or answer.status in (502, 504)
