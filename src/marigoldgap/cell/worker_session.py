"""Session with one worker: lease renewal, listings and commands."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
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

# Duration of a lease. The platform limits leases to 6 s; the difference covers
# the drift between the clocks.
LEASE_S = 5.8
# Long-poll time of a lease renewal, if no run ends.
_LONG_POLL_MS = 1_500
# The same while the worker has runs of a job that is not known here yet.
_UNKNOWN_RUNS_LONG_POLL_MS = 100
# Pause between renewals while ended runs cannot be acknowledged: the worker
# answers at once then.
_PENDING_ENDS_PAUSE_S = 0.1
# Interval of renewals during a recovery: several fit into a lease.
_RECOVERY_RENEWAL_S = 1.5
# Pause before the next attempt to reach an unreachable worker.
_RETRY_S = 0.25
# Timeout of a command; commands without an answer are repeated.
_COMMAND_TIMEOUT_S = 0.5
# Pause before a command is repeated.
_COMMAND_RETRY_S = 0.1
# Interval at which a start that may not be sent is checked again.
_AUTHORITY_CHECK_S = 0.05
# Commands without an answer after which a start is given up, although the
# worker answers renewals. It may carry out a command seconds late, so that a
# new start elsewhere would be no earlier.
_MAX_UNANSWERED_STARTS = 15
# Time for which a renewal waits until ended runs are stored; after it the lease
# is renewed without acknowledging them.
_STORE_TIMEOUT_S = 1.0
# Consecutive refused connections which prove that the worker's process has
# ended, provided that the worker closed its last connection cleanly. A network
# cut may refuse connections as well, but it resets or silences the open ones.
_GONE_REFUSALS = 3
# Time for which no run is started on a worker that refused one as unhealthy.
_UNHEALTHY_PAUSE_S = 1.0


# Rate of the renewals of workers without runs, in calls per second. Each renewal
# of 3,000 workers every 1.5 s would take most of the leader's processor.
_MAX_IDLE_RENEWALS_PER_S = 400.0
# Longest pause between two renewals: both fit into a lease.
_MAX_IDLE_PAUSE_S = 3.5


def idle_pause_s(worker_count: int) -> float:
    """Returns the pause between two renewals for a worker without runs.

    Load: thousands of workers, most of which run nothing. There is no pause for
    up to 600 workers.

    Args:
        worker_count: Number of the workers of the cell.
    """
    interval_s = worker_count / _MAX_IDLE_RENEWALS_PER_S
    return min(max(0.0, interval_s - _LONG_POLL_MS / 1000), _MAX_IDLE_PAUSE_S)


class SessionListener(Protocol):
    """Receives the events of worker sessions.

    Attributes:
        ready: Set once listings are applied; before that, ended runs are not
            acknowledged.
    """

    ready: asyncio.Event

    @property
    def epoch(self) -> int:
        """Epoch of the leader; the fencing token of all commands."""

    def may_start(self) -> bool:
        """Returns whether starts of runs may be sent."""

    def limit_lease_s(self, lease_s: float) -> float:
        """Returns for how many seconds a lease may be granted; 0 for none."""

    def exceeds_limit(self, run: runs.Run) -> bool:
        """Returns whether a run would exceed the limit of its workspace."""

    def is_evacuated(self, run: runs.Run) -> bool:
        """Returns whether the evacuation of its zone withdraws a start."""

    def on_listing(
        self,
        worker: fleet.Worker,
        listing: model.WorkerListing,
        sent_s: float,
    ) -> None:
        """Applies a worker's listing of its runs."""

    def on_gone(
        self, worker: fleet.Worker, has_ended: bool, cause: str
    ) -> None:
        """Ends the runs of a worker that is known to be gone.

        Args:
            worker: The worker.
            has_ended: Whether its process is known to have ended; otherwise
                only its lease has expired.
            cause: Evidence, for the log.
        """

    def on_silent(self, worker: fleet.Worker, cause: str) -> None:
        """Stops placing runs on a worker that does not answer."""

    def on_started(self, run: runs.Run) -> None:
        """Handles the confirmation of a start."""

    def on_uncertain_refusal(
        self, run: runs.Run, outcome: model.StartOutcome
    ) -> None:
        """Handles a refusal while an earlier start may be carried out."""

    def on_refused(self, run: runs.Run, outcome: model.StartOutcome) -> None:
        """Handles a refusal after which the worker never starts the run."""

    def on_fenced(self) -> None:
        """Ends the leadership, as a worker accepted a higher fencing token."""

    def stored(self, job_ids: Collection[str]) -> asyncio.Future[None]:
        """Returns a future that is done once the progress of jobs is stored."""

    def idle_pause_s(self) -> float:
        """Returns the pause between two renewals for a worker without runs."""


class WorkerSession:
    """Renews the lease of one worker and sends it commands.

    Args:
        listener: Receives the events of the session.
        worker: The worker.
        port: Sends commands to workers.
    """

    def __init__(
        self,
        listener: SessionListener,
        worker: fleet.Worker,
        port: ports.WorkerPort,
    ) -> None:
        self._listener = listener
        self._worker = worker
        self._port = port
        self._refusals = 0
        # Whether the worker closed the latest connection cleanly.
        self._was_closed_by_worker = False
        self._is_closed = False
        # Set when a run is started and when the connection is closed.
        self._is_wanted = asyncio.Event()

    async def run(self) -> None:
        """Renews the lease until the worker is gone."""
        while self._worker.contact is not fleet.Contact.GONE:
            try:
                await self._renew_until_failure()
            except ports.FencedError as error:
                _log.warning("fenced", cause=str(error))
                self._listener.on_fenced()
                return
            except ports.OtherIncarnationError as error:
                self._listener.on_gone(self._worker, True, str(error))
                return
            except messages.ConnectionRefusedByHostError as error:
                self._refusals += 1
                self._listener.on_silent(self._worker, str(error))
            except messages.ClosedByHostError as error:
                self._was_closed_by_worker = True
                self._refusals = 0
                self._listener.on_silent(self._worker, str(error))
            except errors.MarigoldgapError as error:
                self._was_closed_by_worker = False
                self._refusals = 0
                self._listener.on_silent(self._worker, str(error))
            if self._was_closed_by_worker and self._refusals >= _GONE_REFUSALS:
                self._listener.on_gone(
                    self._worker, True, "its process has ended"
                )
                return
            if self._worker.is_lease_expired(clock.now_s()):
                self._listener.on_gone(
                    self._worker, False, "its lease has expired"
                )
                return
            await asyncio.sleep(_RETRY_S)

    def close(self) -> None:
        """Stops repeating commands."""
        self._is_closed = True

    async def start(self, run: runs.Run, ticket: str) -> None:
        """Starts a run; repeats the command until its outcome is known."""
        self._is_wanted.set()
        worker = self._worker
        may_have_started = False
        unanswered = 0
        # Repeated commands do not extend the lease. Otherwise the lease of a
        # worker that never answers would not expire.
        lease_until_ms = self._grant_lease()
        born_ms = worker.born_ms
        while run.state is runs.RunState.STARTING and not self._is_closed:
            if self._listener.is_evacuated(run):
                self._refuse(
                    run, model.StartOutcome.EVACUATED, may_have_started
                )
                return
            if not self._listener.may_start():
                await asyncio.sleep(_AUTHORITY_CHECK_S)
                continue
            if worker.born_ms != born_ms:
                born_ms = worker.born_ms
                lease_until_ms = self._grant_lease()
            run.is_sent = True
            try:
                answer = await self._port.start(
                    worker.registration,
                    run.name,
                    run.step.job.record.spec.payload,
                    lease_until_ms,
                    self._listener.epoch,
                    run.step.saved_for(run.name.task.position),
                    ticket,
                    _COMMAND_TIMEOUT_S,
                )
            except errors.MarigoldgapError as error:
                if isinstance(error, ports.ReplacedProcessError):
                    # The renewal in progress waits on a silenced connection.
                    self._listener.on_silent(worker, str(error))
                may_have_started = (
                    may_have_started or error.ran is not errors.Ran.NO
                )
                run.is_unstarted = not may_have_started
                run.is_sent = may_have_started
                unanswered += 1
                _log.warning(
                    "start_unanswered", run=str(run.name), cause=str(error)
                )
                await self._wait_for_contact(run)
                outcome = self._reason_to_give_up(run, unanswered)
                if outcome is not None:
                    self._refuse(run, outcome, may_have_started)
                continue
            if run.state is runs.RunState.STARTING:
                self._conclude(run, answer, may_have_started)

    def _grant_lease(self) -> int:
        """Returns the end of a lease on the worker's clock in ms; 0 for none."""
        lease_s = self._listener.limit_lease_s(LEASE_S)
        return (
            self._worker.grant_lease(clock.now_s(), lease_s) if lease_s else 0
        )

    def withdraw(self, run: runs.Run, outcome: model.StartOutcome) -> None:
        """Handles a start that is not sent."""
        self._refuse(run, outcome, False)

    async def _wait_for_contact(self, run: runs.Run) -> None:
        """Waits before a start is repeated, until the worker answers again.

        Its next listing shows whether it is the same incarnation. In another
        one, the task might crash the worker again. A start that is not repeated
        as its zone is evacuated waits no longer.
        """
        await asyncio.sleep(_COMMAND_RETRY_S)
        while (
            self._worker.contact is fleet.Contact.SILENT
            and not self._is_closed
            and not self._listener.is_evacuated(run)
        ):
            await asyncio.sleep(_COMMAND_RETRY_S)

    def _reason_to_give_up(
        self, run: runs.Run, unanswered: int
    ) -> model.StartOutcome | None:
        """Returns the outcome of a start that is not repeated, or None."""
        worker = self._worker
        if worker.is_over_capacity:
            return model.StartOutcome.NO_ROOM
        if self._listener.exceeds_limit(run):
            return model.StartOutcome.OVER_LIMIT
        if (
            worker.registration.is_draining
            or unanswered >= _MAX_UNANSWERED_STARTS
        ):
            return model.StartOutcome.UNANSWERED
        return None

    def _conclude(
        self, run: runs.Run, answer: model.StartAnswer, may_have_started: bool
    ) -> None:
        outcome = answer.outcome
        measures.STARTS.labels(outcome.value).inc()
        if outcome is model.StartOutcome.STARTED:
            run.confirmed_s = clock.now_s()
            self._listener.on_started(run)
        elif outcome is model.StartOutcome.FENCED:
            self._listener.on_fenced()
        else:
            if outcome is model.StartOutcome.UNHEALTHY:
                self._worker.avoid_until_s = clock.now_s() + _UNHEALTHY_PAUSE_S
            self._refuse(run, outcome, may_have_started)

    def _refuse(
        self, run: runs.Run, outcome: model.StartOutcome, may_have_started: bool
    ) -> None:
        """Handles a start that was refused or is not repeated."""
        if run.state is not runs.RunState.STARTING:
            return
        # An earlier command without an answer may still be carried out.
        if may_have_started:
            self._listener.on_uncertain_refusal(run, outcome)
        else:
            self._listener.on_refused(run, outcome)

    async def stop(self, run: runs.Run) -> None:
        """Stops a run; repeats the command until the worker accepts it."""
        while run.name in self._worker.runs and not self._is_closed:
            try:
                is_accepted = await self._port.stop(
                    self._worker.registration,
                    run.name,
                    self._listener.epoch,
                    _COMMAND_TIMEOUT_S,
                )
            except errors.MarigoldgapError as error:
                _log.warning(
                    "stop_unanswered", run=str(run.name), cause=str(error)
                )
            else:
                if is_accepted:
                    # The next listing shows the stopped run as ended. If the
                    # start never arrived, the worker will refuse it and the
                    # run is not listed at all.
                    run.confirmed_s = min(run.confirmed_s, clock.now_s())
                    return
            await asyncio.sleep(_COMMAND_RETRY_S)

    async def _renew_until_failure(self) -> None:
        """Renews the lease over one connection, until it fails.

        A connection does not outlive the worker's process, so the numbers of
        ended runs that are acknowledged on it belong to one incarnation.
        """
        worker = self._worker
        connection = await client.connect(worker.registration.address)
        try:
            # The first answer gives the worker's clock, which lease ends need.
            await self._renew(connection, 0, 0, 0)
            self._refusals = 0
            self._was_closed_by_worker = False
            connection.on_closed = self._is_wanted.set
            while worker.contact is not fleet.Contact.GONE:
                await self._renew_with_lease(connection)
                await self._pause_while_idle()
        finally:
            connection.close()

    async def _renew_with_lease(self, connection: client.Connection) -> None:
        worker = self._worker
        if not self._listener.ready.is_set():
            await self._renew(connection, 0, self._grant_lease(), 0)
            await self._pause_until_ready()
            return
        handled = worker.handled_number
        if handled > worker.stored_number:
            try:
                async with asyncio.timeout(_STORE_TIMEOUT_S):
                    await self._listener.stored(worker.unstored_jobs)
                worker.stored_number = handled
                worker.unstored_jobs.clear()
            except TimeoutError:
                _log.warning("ended_runs_not_stored", worker=worker.worker_id)
        # The worker answers at once while ended runs are unacknowledged.
        wait_ms = _LONG_POLL_MS if worker.stored_number >= handled else 0
        if worker.unknown_runs:
            wait_ms = min(wait_ms, _UNKNOWN_RUNS_LONG_POLL_MS)
        if worker.pending_ends:
            await asyncio.sleep(_PENDING_ENDS_PAUSE_S)
        await self._renew(
            connection, worker.stored_number, self._grant_lease(), wait_ms
        )

    async def _pause_while_idle(self) -> None:
        """Waits between two renewals of a worker without runs."""
        worker = self._worker
        is_idle = not (
            worker.runs
            or worker.unknown_runs
            or worker.pending_ends
            or worker.handled_number > worker.stored_number
        )
        pause_s = self._listener.idle_pause_s()
        if not is_idle or not pause_s or not self._listener.ready.is_set():
            return
        self._is_wanted.clear()
        try:
            async with asyncio.timeout(pause_s):
                await self._is_wanted.wait()
        except TimeoutError:
            return

    async def _pause_until_ready(self) -> None:
        """Waits between two renewals; the worker answers at once meanwhile."""
        try:
            async with asyncio.timeout(_RECOVERY_RENEWAL_S):
                await self._listener.ready.wait()
        except TimeoutError:
            return

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
            self._listener.epoch,
            seen_number,
            until_ms,
            wait_ms,
        )
        self._listener.on_listing(self._worker, listing, sent_s)
