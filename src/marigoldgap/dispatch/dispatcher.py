"""Runs requests and job tasks on workers."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib

from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.dispatch import fleet_events
from marigoldgap.dispatch import holdings as dispatch_holdings
from marigoldgap.dispatch import interfaces
from marigoldgap.dispatch import job_tasks
from marigoldgap.dispatch import model as dispatch_model
from marigoldgap.dispatch import quarantine as dispatch_quarantine
from marigoldgap.dispatch import request_run
from marigoldgap.dispatch import usage as dispatch_usage
from marigoldgap.scheduling import model
from marigoldgap.workers import model as workers_model

_logger = logs.PartLogger("dispatch")

_RETURN_UNUSED_INTERVAL_S = 5.0


class Dispatcher:
    """Interface of the data plane; built by `builder.build_data_plane`.

    Args:
        parts: Components that a running request uses.
        events: Receives the reports of the fleet.
        holdings: Units of the teams.
        usage: Usage of the teams, which orders waiting requests.
        starter: Starts and stops job tasks.
        claims: Stores the claims of idempotency keys.
        holding_returned: Called with each team whose units were returned.
    """

    def __init__(
        self,
        parts: request_run.RunnerParts,
        events: fleet_events.FleetEvents,
        holdings: dispatch_holdings.HoldingsTable,
        usage: dispatch_usage.TeamUsage,
        starter: job_tasks.JobTaskStarter,
        claims: interfaces.ClaimStore,
        holding_returned: interfaces.HoldingReturned,
    ) -> None:
        self._parts = parts
        self._events = events
        self._holdings = holdings
        self._usage = usage
        self._starter = starter
        self._claims = claims
        self._holding_returned = holding_returned
        self._draining = False
        self._stopped = False
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._background_tasks: set[asyncio.Task[None]] = set()

    @property
    def events(self) -> fleet_events.FleetEvents:
        """Listener of the fleet, to which observers can be added."""
        return self._events

    @property
    def holdings(self) -> dispatch_holdings.HoldingsTable:
        """Units of the teams."""
        return self._holdings

    @property
    def usage(self) -> dispatch_usage.TeamUsage:
        """Usage and shares of the teams."""
        return self._usage

    @property
    def quarantine(self) -> dispatch_quarantine.WorkerQuarantine:
        """Quarantine of the workers on which tasks of several jobs failed."""
        return self._parts.quarantine

    @property
    def draining(self) -> bool:
        """Whether this instance is stopping."""
        return self._draining

    def load(self) -> dispatch_model.EntryLoad:
        """Returns the load of this instance.

        It consists of the free resources by service, the waiting requests by
        queue and the running tasks by team.
        """
        return dispatch_model.EntryLoad(
            self._parts.placement.index.free_by_service(),
            self._parts.requests.by_queue,
            self._holdings.running_by_team(),
        )

    def running(self) -> tuple[model.RunningTask, ...]:
        """Returns the tasks that occupy capacity of the owned workers."""
        return tuple(self._parts.placement.index.running())

    async def submit(
        self,
        task: model.TaskSpec,
        payload: bytes,
        forwarded: bool = False,
        idempotency_key: str = "",
    ) -> workers_model.WorkerAnswer:
        """Runs a request and returns its whole answer.

        Args:
            task: The request; its id must be new.
            payload: Its body.
            forwarded: Whether another entry instance sent it.
            idempotency_key: Key of a non-idempotent request, or empty.

        Raises:
            DuplicateRequestError: The idempotency key was used before and no
                answer of the same request is recorded.
            OutcomeUnknownError: The work may have run.
            MarigoldgapError: Another error with `ran` NO; the work did not
                run.
        """
        if self._stopped:
            raise errors.StoppingError("this instance has stopped")
        with self._count_in_flight():
            if idempotency_key and not task.idempotent:
                return await self._submit_once(task, payload, idempotency_key)
            return await self._run(task, payload, forwarded)

    async def place_job_task(
        self, task: model.TaskSpec, payload: bytes
    ) -> dispatch_model.PlaceOutcome:
        """Starts a job task and returns whether and where it runs.

        A task that this instance already placed is not started again.
        """
        known = self._starter.existing_placement(task.task_id)
        if known is not None:
            return known
        if self._draining:
            code = errors.StoppingError.code
            return dispatch_model.PlaceOutcome(task.task_id, refusal=code)
        with self._count_in_flight():
            return await self._starter.place(task, payload)

    def reserve(
        self, reservation_id: str, tasks: Sequence[model.TaskSpec]
    ) -> tuple[str, ...]:
        """Reserves capacity and units for the tasks of a gang.

        Returns:
            Ids of the tasks that got both; none while draining.
        """
        if self._draining:
            return ()
        return self._starter.reserve(reservation_id, tasks)

    def release(self, reservation_id: str) -> None:
        """Releases a reservation; ignores unknown ids."""
        self._starter.release(reservation_id)

    async def place_reserved(
        self, reservation_id: str, task: model.TaskSpec, payload: bytes
    ) -> dispatch_model.PlaceOutcome:
        """Starts a job task with its reserved capacity."""
        with self._count_in_flight():
            return await self._starter.place_reserved(
                reservation_id, task, payload
            )

    async def stop_task(
        self, worker_id: str, task_id: str, action: str = "stop"
    ) -> str:
        """Stops, checkpoints or throttles a job task; returns its state.

        Raises:
            MarigoldgapError: The state is not known; see
                `WorkerFleet.stop_task`.
        """
        return await self._starter.apply_action(worker_id, task_id, action)

    async def run(self) -> None:
        """Expires waiting requests and returns unused units; never ends."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._parts.requests.run())
            group.create_task(self._return_unused())
            group.create_task(self._parts.quarantine.run())

    def begin_drain(self) -> None:
        """Refuses new job tasks and prefers peers for requests."""
        if self._draining:
            return
        self._draining = True
        _logger.info(
            "draining; %d requests and job task starts are in flight",
            self._in_flight,
        )
        self._parts.requests.hand_over_all()

    async def drain(self) -> None:
        """Waits until every accepted request has its answer.

        Requests that arrive meanwhile are still served, so call this after
        the server has stopped accepting connections.
        """
        self.begin_drain()
        await self._idle.wait()
        self._stopped = True
        if self._background_tasks:
            await asyncio.wait(self._background_tasks)

    async def _run(
        self, task: model.TaskSpec, payload: bytes, forwarded: bool
    ) -> workers_model.WorkerAnswer:
        run = request_run.RequestRun(
            self._parts, task, payload, forwarded, self._draining
        )
        return await run.run()

    async def _submit_once(
        self, task: model.TaskSpec, payload: bytes, key: str
    ) -> workers_model.WorkerAnswer:
        """Claims the idempotency key, then runs the request."""
        claim = await self._claims.claim(task, key, payload)
        if isinstance(claim, workers_model.WorkerAnswer):
            return claim
        try:
            answer = await self._run(task, payload, forwarded=False)
        except errors.MarigoldgapError as error:
            if error.ran is errors.Ran.NO:
                self._start_in_background(self._claims.abandon(claim))
            raise
        self._start_in_background(self._claims.record(claim, answer))
        return answer

    def _start_in_background(self, work: Coroutine[None, None, None]) -> None:
        background_task = asyncio.create_task(work)
        self._background_tasks.add(background_task)
        background_task.add_done_callback(self._background_tasks.discard)

    @contextlib.contextmanager
    def _count_in_flight(self) -> Iterator[None]:
        self._in_flight += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _return_unused(self) -> None:
        while True:
            await asyncio.sleep(_RETURN_UNUSED_INTERVAL_S)
            for team in self._holdings.return_unused():
                self._holding_returned(team)
