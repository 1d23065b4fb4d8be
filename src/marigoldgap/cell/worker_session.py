"""Session with one worker: renews its lease and reads its listings."""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap.cell import containment
from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import ports
from marigoldgap.cell import runs
from marigoldgap.cell import session_listener
from marigoldgap.cell import worker_commands
from marigoldgap.web import client
from marigoldgap.web import messages

_log = decision_log.DecisionLogger("workers")

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
# Time for which a renewal waits until ended runs are stored; after it the lease
# is renewed without acknowledging them.
_STORE_TIMEOUT_S = 1.0
# Consecutive refused connections which prove that the worker's process has
# ended, provided that the worker closed its last connection cleanly. A network
# cut may refuse connections as well, but it resets or silences the open ones.
_GONE_REFUSALS = 3

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


class WorkerSession:
    """Renews the lease of one worker and sends it commands.

    Args:
        listener: Receives the events of the session.
        worker: The worker.
        port: Sends commands to workers.
    """

    def __init__(
        self,
        listener: session_listener.SessionListener,
        worker: fleet.Worker,
        port: ports.WorkerPort,
    ) -> None:
        self._listener = listener
        self._worker = worker
        self._port = port
        self._refusals = 0
        # Whether the worker closed the latest connection cleanly.
        self._was_closed_by_worker = False
        # Pause after a refusal of the token or an unexpected error.
        self._failure_pause = containment.GrowingPause()
        self._commands = worker_commands.WorkerCommands(listener, worker, port)
        # Set when a run is started and when the connection is closed.
        self._is_wanted = asyncio.Event()

    async def run(self) -> None:
        """Renews the lease until the worker is gone."""
        while self._worker.contact is not fleet.Contact.GONE:
            pause_s = _RETRY_S
            try:
                await self._renew_until_failure()
            except ports.FencedError as error:
                pause_s = self._failure_pause.next_s()
                self._listener.on_fenced(self._worker, str(error))
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
                if isinstance(error, containment.UnexpectedError):
                    pause_s = self._failure_pause.next_s()
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
            await asyncio.sleep(pause_s)

    def close(self) -> None:
        """Stops repeating commands."""
        self._commands.close()

    async def start(self, run: runs.Run, ticket: str) -> None:
        """Starts a run; repeats the command until its outcome is known."""
        self._is_wanted.set()
        await self._commands.start(run, ticket)

    def withdraw(self, run: runs.Run, outcome: model.StartOutcome) -> None:
        """Handles a start that is not sent."""
        self._commands.withdraw(run, outcome)

    async def stop(self, run: runs.Run) -> None:
        """Stops a run; repeats the command until the worker accepts it."""
        await self._commands.stop(run)

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
            await self._renew(connection, 0, self._commands.grant_lease(), 0)
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
            connection,
            worker.stored_number,
            self._commands.grant_lease(),
            wait_ms,
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
        worker = self._worker
        with containment.contained("session", worker.worker_id):
            listing = await self._port.renew(
                connection,
                worker.registration,
                self._listener.epoch,
                seen_number,
                until_ms,
                wait_ms,
            )
            self._listener.on_listing(worker, listing, sent_s)
        self._failure_pause.reset()
