"""Commands to one worker: starts and stops of runs, until they are answered."""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import containment
from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import ports
from marigoldgap.cell import runs
from marigoldgap.cell import session_listener

_log = decision_log.DecisionLogger("workers")

# Duration of a lease. The platform limits leases to 6 s; the difference covers
# the drift between the clocks.
LEASE_S = 5.8
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
# Time for which no run is started on a worker that refused one as unhealthy.
_UNHEALTHY_PAUSE_S = 1.0


class WorkerCommands:
    """Sends commands to one worker.

    Args:
        listener: Receives the outcomes of commands.
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
        self._is_closed = False

    def close(self) -> None:
        """Stops repeating commands."""
        self._is_closed = True

    async def start(self, run: runs.Run, ticket: str) -> None:
        """Starts a run; repeats the command until its outcome is known.

        A run is started in the process for which it was planned, or not at all:
        the next one has another clock, and may have other labels.

        It may be called again after an unexpected error.
        """
        worker = self._worker
        may_have_started = run.is_sent
        unanswered = 0
        # Repeated commands do not extend the lease. Otherwise the lease of a
        # worker that never answers would not expire.
        lease_until_ms = self.grant_lease()
        while run.state is runs.RunState.STARTING and not self._is_closed:
            if self._listener.is_evacuated(run):
                self._refuse(
                    run, model.StartOutcome.EVACUATED, may_have_started
                )
                return
            if not self._listener.may_start():
                await asyncio.sleep(_AUTHORITY_CHECK_S)
                continue
            if worker.process != run.process:
                self._refuse(
                    run, model.StartOutcome.OTHER_LIFE, may_have_started
                )
                return
            run.is_sent = True
            try:
                with containment.contained("start", str(run.name)):
                    answer = await self._port.start(
                        worker.registration,
                        ports.StartCommand(
                            run.name,
                            run.step.job.record.spec.payload,
                            run.process,
                            lease_until_ms,
                            self._listener.epoch,
                            run.step.saved_for(run.name.task.position),
                            ticket,
                        ),
                        _COMMAND_TIMEOUT_S,
                    )
            except ports.FencedError as error:
                # The start follows the listing that was refused.
                self._listener.on_fenced(worker, str(error))
                self._refuse(run, model.StartOutcome.FENCED, may_have_started)
                return
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
                    "start_unanswered",
                    run=str(run.name),
                    born_ms=run.process.born_ms,
                    lease_until_ms=lease_until_ms,
                    cause=str(error),
                )
                await self._wait_for_contact(run)
                outcome = self._reason_to_give_up(run, unanswered)
                if outcome is not None:
                    self._refuse(run, outcome, may_have_started)
                continue
            if run.state is runs.RunState.STARTING:
                self._conclude(run, answer, may_have_started)

    def grant_lease(self) -> int:
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
        else:
            if outcome is model.StartOutcome.FENCED:
                self._listener.on_fenced(self._worker, "it refused a start")
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
        unexpected_pause = containment.GrowingPause()
        while run.name in self._worker.runs and not self._is_closed:
            pause_s = _COMMAND_RETRY_S
            try:
                with containment.contained("stop", str(run.name)):
                    is_accepted = await self._port.stop(
                        self._worker.registration,
                        run.name,
                        self._listener.epoch,
                        _COMMAND_TIMEOUT_S,
                    )
            except errors.MarigoldgapError as error:
                if isinstance(error, containment.UnexpectedError):
                    pause_s = unexpected_pause.next_s()
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
            await asyncio.sleep(pause_s)
