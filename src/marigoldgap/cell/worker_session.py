"""Conversation with one worker: its lease, its lists, orders to it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import ports
from marigoldgap.cell import runs
from marigoldgap.web import client
from marigoldgap.web import messages

_log = decision_log.DecisionLogger("workers")

# Length of a lease. The platform cuts leases at 6 s; the rest is
# for the difference between the clocks.
LEASE_S = 5.8
# How long a worker may hold back its answer when nothing ends.
_WAIT_MS = 1_500
# The same while the worker runs something that is not known here yet.
_UNACCOUNTED_WAIT_MS = 100
# Pause before the next attempt to reach a silent worker.
_RETRY_S = 0.25
# Limit of one order; unanswered orders are repeated.
_ORDER_TIMEOUT_S = 0.5
# Pause between repeated orders.
_ORDER_RETRY_S = 0.1
# How long an end may wait for the store before the lease is renewed without it.
_STORE_WAIT_S = 1.0
# Refused connections in a row that, after the worker closed its conversation in
# order, prove that its process has ended. A cut may refuse connections as well,
# but it resets or silences those that are open.
_REFUSALS = 3
# A worker that refuses starts gets none for this long.
_UNHEALTHY_PAUSE_S = 1.0


class Owner(Protocol):
    """The elected instance, as its conversations see it."""

    @property
    def fence(self) -> int:
        """Fencing token of all orders."""

    def on_listing(
        self,
        worker: fleet.Worker,
        listing: model.WorkerListing,
        sent_s: float,
    ) -> None:
        """Takes over what a worker listed."""

    def on_gone(self, worker: fleet.Worker, why: str) -> None:
        """Gives up the runs of a worker that has certainly ended."""

    def on_silent(self, worker: fleet.Worker, why: str) -> None:
        """Stops giving runs to a worker that does not answer."""

    def on_started(self, run: runs.Run) -> None:
        """Records that a worker confirmed a start."""

    def on_doubtful(self, run: runs.Run, outcome: model.StartOutcome) -> None:
        """Records a refusal while an earlier order may be carried out."""

    def on_refused(self, run: runs.Run, outcome: model.StartOutcome) -> None:
        """Records that a worker did not start a run and will not."""

    def on_fenced(self) -> None:
        """Records that a worker obeys another instance."""

    def flushed(self) -> asyncio.Future[None]:
        """Returns a future that is done when what is known is stored."""


class WorkerSession:
    """Keeps the lease of one worker and carries its orders.

    Args:
        owner: The elected instance.
        worker: The worker.
        port: Calls to workers.
    """

    def __init__(
        self,
        owner: Owner,
        worker: fleet.Worker,
        port: ports.WorkerPort,
    ) -> None:
        self._owner = owner
        self._worker = worker
        self._port = port
        self._refusals = 0
        # Whether the latest conversation was closed by the worker, in order.
        self._was_closed_by_worker = False
        self._is_closed = False

    async def run(self) -> None:
        """Renews the lease until the worker is gone."""
        while self._worker.contact is not fleet.Contact.GONE:
            try:
                await self._converse()
            except ports.FencedError as error:
                _log.warning("fenced", cause=str(error))
                self._owner.on_fenced()
                return
            except ports.OtherLifeError as error:
                self._owner.on_gone(self._worker, str(error))
                return
            except messages.ConnectionRefusedByHostError as error:
                self._refusals += 1
                self._owner.on_silent(self._worker, str(error))
            except messages.ClosedByHostError as error:
                self._was_closed_by_worker = True
                self._refusals = 0
                self._owner.on_silent(self._worker, str(error))
            except errors.MarigoldgapError as error:
                self._was_closed_by_worker = False
                self._refusals = 0
                self._owner.on_silent(self._worker, str(error))
            if self._is_certainly_gone():
                self._owner.on_gone(
                    self._worker,
                    "its process has ended or its lease has lapsed",
                )
                return
            await asyncio.sleep(_RETRY_S)

    def close(self) -> None:
        """Ends repeated orders."""
        self._is_closed = True

    async def start(self, run: runs.Run, ticket: str) -> None:
        """Starts a run; repeats the order until its outcome is known."""
        worker = self._worker
        is_open = False
        # Repetitions extend no lease: a worker that answers nothing would
        # otherwise never be given up.
        lease_until_ms = worker.lease_end_ms(clock.now_s(), LEASE_S)
        while run.state is runs.RunState.STARTING and not self._is_closed:
            try:
                answer = await self._port.start(
                    worker.registration,
                    run.name,
                    run.step.job.record.spec.payload,
                    lease_until_ms,
                    self._owner.fence,
                    run.step.saved_for(run.name.task.position),
                    ticket,
                    _ORDER_TIMEOUT_S,
                )
            except errors.MarigoldgapError as error:
                is_open = is_open or error.ran is not errors.Ran.NO
                _log.warning("start_open", run=str(run.name), cause=str(error))
                await asyncio.sleep(_ORDER_RETRY_S)
                if worker.contact is fleet.Contact.GONE:
                    return
                continue
            if run.state is runs.RunState.STARTING:
                self._conclude(run, answer, is_open)

    def _conclude(
        self, run: runs.Run, answer: model.StartAnswer, is_open: bool
    ) -> None:
        outcome = answer.outcome
        measures.STARTS.labels(outcome.value).inc()
        if outcome is model.StartOutcome.STARTED:
            run.answered_s = clock.now_s()
            self._owner.on_started(run)
        elif outcome is model.StartOutcome.FENCED:
            self._owner.on_fenced()
        else:
            if outcome is model.StartOutcome.UNHEALTHY:
                self._worker.avoid_until_s = clock.now_s() + _UNHEALTHY_PAUSE_S
            # An earlier order without an answer may still be carried out.
            if is_open:
                self._owner.on_doubtful(run, outcome)
            else:
                self._owner.on_refused(run, outcome)

    async def stop(self, run: runs.Run) -> None:
        """Stops a run; repeats the order until the worker has taken it."""
        while run.name in self._worker.runs and not self._is_closed:
            try:
                taken = await self._port.stop(
                    self._worker.registration,
                    run.name,
                    self._owner.fence,
                    _ORDER_TIMEOUT_S,
                )
            except errors.MarigoldgapError as error:
                _log.warning("stop_open", run=str(run.name), cause=str(error))
            else:
                if taken:
                    # A stopped run is listed as ended; one that never arrived
                    # will be refused, and the next listing shows neither.
                    run.answered_s = min(run.answered_s, clock.now_s())
                    return
            await asyncio.sleep(_ORDER_RETRY_S)

    async def _converse(self) -> None:
        """Renews the lease over one connection.

        A connection does not outlive the worker's process, so the numbers of
        ends that were acknowledged on it belong to the same life.
        """
        worker = self._worker
        connection = await client.connect(worker.registration.address)
        try:
            await self._renew(connection, 0, 0, 0)
            self._refusals = 0
            self._was_closed_by_worker = False
            while worker.contact is not fleet.Contact.GONE:
                await self._renew_with_lease(connection)
        finally:
            connection.close()

    async def _renew_with_lease(self, connection: client.Connection) -> None:
        worker = self._worker
        handled = worker.handled_number
        if handled > worker.stored_number:
            try:
                await asyncio.wait_for(self._owner.flushed(), _STORE_WAIT_S)
                worker.stored_number = handled
            except TimeoutError:
                _log.warning("ends_unstored", worker=worker.worker_id)
        # Unacknowledged ends make the worker answer at once.
        wait_ms = _WAIT_MS if worker.stored_number >= handled else 0
        if worker.unaccounted:
            wait_ms = min(wait_ms, _UNACCOUNTED_WAIT_MS)
        until = worker.lease_end_ms(clock.now_s(), LEASE_S)
        await self._renew(connection, worker.stored_number, until, wait_ms)

    async def _renew(
        self,
        connection: client.Connection,
        seen_number: int,
        until_ms: int,
        wait_ms: int,
    ) -> None:
        sent_s = clock.now_s()
        listing = await self._port.renew(
            connection,
            self._worker.registration,
            self._owner.fence,
            seen_number,
            until_ms,
            wait_ms,
        )
        self._owner.on_listing(self._worker, listing, sent_s)

    def _is_certainly_gone(self) -> bool:
        has_ended = self._was_closed_by_worker and self._refusals >= _REFUSALS
        return has_ended or self._worker.has_lapsed(clock.now_s())
