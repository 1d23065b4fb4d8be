"""Runs one request: placement, attempts and recovery of lost answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.dispatch import acceptance_gate
from marigoldgap.dispatch import interfaces
from marigoldgap.dispatch import placement as dispatch_placement
from marigoldgap.dispatch import quarantine as dispatch_quarantine
from marigoldgap.dispatch import request_queue
from marigoldgap.scheduling import model
from marigoldgap.workers import fleet as workers_fleet
from marigoldgap.workers import model as workers_model

_logger = logs.PartLogger("dispatch")

# A request fails after this many refusals, which point to a fault and are no
# coincidence.
_MAX_REFUSALS = 8
# A worker that answers with this status or a higher one has failed the task.
_FIRST_SERVER_ERROR = 500
_DUPLICATE = "duplicate"
# States after a stop in which the attempt can no longer run.
_ENDED_STATES = frozenset({"stopped", "finished", "never-started"})

_NOT_RUN_ERRORS = (
    errors.ConnectFailedError,
    errors.LeaseLostError,
    errors.WorkerRefusedError,
)
_STOP_ERRORS = (
    errors.ConnectFailedError,
    errors.LeaseLostError,
    errors.WorkerRefusedError,
    errors.OutcomeUnknownError,
    errors.ProtocolError,
)


class RunnerParts(NamedTuple):
    """Components that a running request uses.

    Attributes:
        fleet: Sends requests to the workers.
        placement: Allocates capacity and units.
        requests: Queue of the waiting requests.
        gate: Decides which workers accept new work.
        forwarder: Sends requests to peers.
        budget: Limits retries.
        quarantine: Gets the outcome of each attempt.
        settle: Called with the id of a task whose outcome is unknown.
        now_ms: Monotonic clock in milliseconds.
    """

    fleet: workers_fleet.WorkerFleet
    placement: dispatch_placement.Placement
    requests: request_queue.RequestQueue
    gate: acceptance_gate.AcceptanceGate
    forwarder: interfaces.Forwarder
    budget: interfaces.RetryBudget
    quarantine: dispatch_quarantine.WorkerQuarantine
    settle: Callable[[str], None]
    now_ms: Callable[[], int]


class RequestRun:
    """Runs one request, with several attempts if necessary.

    Args:
        parts: The components that the request uses.
        task: The request.
        payload: Its body.
        forwarded: Whether a peer sent it; it is then not forwarded again.
        prefer_peers: Whether to try a peer first, as while draining.
    """

    def __init__(
        self,
        parts: RunnerParts,
        task: model.TaskSpec,
        payload: bytes,
        forwarded: bool,
        prefer_peers: bool = False,
    ) -> None:
        self._parts = parts
        self._first = task
        self._task = task
        self._payload = payload
        self._may_forward = not forwarded
        self._prefer_peers = prefer_peers
        self._refusals = 0
        self._quarantine_group = f"{task.team}/{task.queue}"
        self._avoid: frozenset[str] = frozenset()
        self._may_have_run = False

    async def run(self) -> workers_model.WorkerAnswer:
        """Runs the request and returns its answer.

        Raises:
            OutcomeUnknownError: The work may have run.
            MarigoldgapError: Another error with `ran` NO; the work did not
                run.
        """
        self._parts.budget.first_attempt(self._task.team)
        try:
            while True:
                answer = await self._step()
                if answer is not None:
                    return answer
        except errors.MarigoldgapError as error:
            # An earlier attempt may have run, even if the last one did not.
            if self._may_have_run and error.ran is errors.Ran.NO:
                raise errors.OutcomeUnknownError(error.detail) from error
            raise

    async def _step(self) -> workers_model.WorkerAnswer | None:
        """Makes one step: queues, forwards or attempts the request.

        Returns:
            The answer, or None if another step is necessary.
        """
        worker_id = None
        if not self._prefer_peers and self._parts.requests.is_empty:
            worker_id = self._parts.placement.try_place(self._task, self._avoid)
        if worker_id is None:
            answer = await self._try_peer()
            if answer is not None:
                return answer
            worker_id = await self._parts.requests.wait(self._task)
        self._prefer_peers = worker_id == request_queue.HANDED_OVER
        if self._prefer_peers:
            return None
        return await self._attempt(worker_id)

    async def _try_peer(self) -> workers_model.WorkerAnswer | None:
        """Forwards the request if a peer is preferred or expected to be faster.

        A request is forwarded at most once.

        Returns:
            The answer, or None if the request was not run by a peer.
        """
        prefer_peers, self._prefer_peers = self._prefer_peers, False
        if not self._may_forward:
            return None
        if not prefer_peers and self._parts.placement.has_capacity(self._task):
            # Only a unit of the team is missing, and it has been requested.
            return None
        expected_ms = self._parts.requests.expected_wait_ms(self._task) or 0.0
        if prefer_peers:
            expected_ms = float("inf")
        instance_id = self._parts.forwarder.choose(
            self._task, len(self._payload), expected_ms
        )
        if instance_id is None:
            return None
        self._may_forward = False
        try:
            return await self._parts.forwarder.forward(
                instance_id, self._task, self._payload
            )
        except errors.MarigoldgapError as error:
            if error.ran is not errors.Ran.NO:
                raise
            _logger.debug(
                "peer %s did not run the request: %s", instance_id, error.detail
            )
            return None

    async def _attempt(
        self, worker_id: str
    ) -> workers_model.WorkerAnswer | None:
        task_id = self._task.task_id
        try:
            self._parts.placement.check_current(task_id)
            answer = await self._parts.fleet.run_request(
                worker_id, self._task, self._payload
            )
        except _NOT_RUN_ERRORS as error:
            await self._handle_refusal(worker_id, error)
            return None
        except errors.OutcomeUnknownError as error:
            await self._recover(worker_id, error)
            return None
        except BaseException:
            self._parts.settle(task_id)
            raise
        failed = answer.status >= _FIRST_SERVER_ERROR
        self._parts.quarantine.task_ended(
            worker_id, self._quarantine_group, failed
        )
        self._parts.placement.finish(task_id)
        return answer

    async def _handle_refusal(
        self, worker_id: str, error: errors.MarigoldgapError
    ) -> None:
        if getattr(error, "reason", "") == _DUPLICATE:
            # An earlier start with this id reached the worker and may run.
            unknown = errors.OutcomeUnknownError(error.detail)
            await self._recover(worker_id, unknown)
            return
        self._parts.placement.finish(self._task.task_id)
        self._parts.gate.handle_refusal(worker_id, error)
        self._avoid |= {worker_id}
        self._refusals += 1
        if self._refusals >= _MAX_REFUSALS:
            raise errors.OverloadedError(
                f"{self._refusals} workers refused; last: {error.detail}"
            )

    async def _recover(
        self, worker_id: str, error: errors.OutcomeUnknownError
    ) -> None:
        """Prepares another attempt after a lost answer, or raises the error.

        Only idempotent work is retried, and only after the worker has
        confirmed that the lost attempt can no longer run.
        """
        if not self._task.idempotent:
            self._parts.settle(self._task.task_id)
            raise error
        state = await self._stop_attempt(worker_id)
        if state not in _ENDED_STATES:
            self._parts.settle(self._task.task_id)
            raise error
        self._parts.placement.finish(self._task.task_id)
        # Even `never-started` does not prove that the attempt did not run: a
        # restarted worker does not know the tasks of its earlier process.
        self._may_have_run = True
        if not self._may_retry():
            raise error
        attempt = self._task.attempt + 1
        self._task = self._task._replace(
            task_id=f"{self._first.task_id}.{attempt}", attempt=attempt
        )
        self._avoid |= {worker_id}
        await self._back_off(attempt)

    async def _back_off(self, attempt: int) -> None:
        delay_ms = self._parts.budget.delay_ms(attempt, random.random)
        await asyncio.sleep(delay_ms / clock.MILLISECONDS_PER_SECOND)

    def _may_retry(self) -> bool:
        deadline_ms = self._task.deadline_ms
        if deadline_ms is not None and self._parts.now_ms() >= deadline_ms:
            return False
        return self._parts.budget.take(self._task.team, self._task.attempt + 1)

    async def _stop_attempt(self, worker_id: str) -> str:
        try:
            return await self._parts.fleet.stop_task(
                worker_id, self._task.task_id
            )
        except _STOP_ERRORS as error:
            _logger.info(
                "the worker did not confirm the stop: %s", error.detail
            )
            return ""
