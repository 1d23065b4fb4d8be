"""Tracks the workers of a cell: registrations, sessions and listings."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import functools

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap.cell import containment
from marigoldgap.cell import crash_counter
from marigoldgap.cell import fence_refusals
from marigoldgap.cell import fleet
from marigoldgap.cell import former_leader
from marigoldgap.cell import inherited_workers
from marigoldgap.cell import job_tracker
from marigoldgap.cell import leadership as leaderships
from marigoldgap.cell import lost_workers
from marigoldgap.cell import model
from marigoldgap.cell import ports
from marigoldgap.cell import recorded_runs
from marigoldgap.cell import recorded_starts
from marigoldgap.cell import records
from marigoldgap.cell import registrations
from marigoldgap.cell import rejoin
from marigoldgap.cell import roster
from marigoldgap.cell import run_listings
from marigoldgap.cell import run_times
from marigoldgap.cell import run_tracker
from marigoldgap.cell import runs
from marigoldgap.cell import step_progress
from marigoldgap.cell import worker_session

_log = decision_log.DecisionLogger("workers")

# Leases that a command for an earlier incarnation of a worker granted to the next
# one expire within 6 s on the worker's clock, which may be slow by 2%.
_INCARNATION_LEASE_S = 6.3


class WorkerTracker:
    """Keeps a session with each worker and applies its listings.

    Args:
        leadership: The current leadership.
        port: Sends commands to workers.
        tracker: Tracks the jobs.
        times: Learns run times.
        former: What is known of the former leader.
    """

    def __init__(
        self,
        leadership: leaderships.Leadership,
        port: ports.WorkerPort,
        tracker: job_tracker.JobTracker,
        times: run_times.RunTimes,
        former: former_leader.FormerLeader,
    ) -> None:
        self.workers = fleet.Fleet()
        # Returns whether a run that has not begun would exceed the limit of its
        # workspace; set by the scheduler.
        self.exceeds_limit: Callable[[runs.Run], bool] = lambda _: False
        # Returns whether the evacuation of its zone withdraws the start of a
        # run, and whether limits and evacuations are not confirmed; set by the
        # scheduler.
        self.is_evacuated: Callable[[runs.Run], bool] = lambda _: False
        self.is_outdated: Callable[[], bool] = lambda: False
        self._registrations = registrations.Registrations()
        self._refusals = fence_refusals.FenceRefusals()
        # Set once the stored jobs are known. Before that, listings cannot be
        # applied: the latest one of each worker is kept.
        self.ready = asyncio.Event()
        self._deferred: dict[str, tuple[model.WorkerListing, float]] = {}
        self._leadership = leadership
        self._port = port
        self._roster = roster.Roster(leadership)
        self.inherited = inherited_workers.InheritedWorkers(
            leadership, self.workers, self._roster, former
        )
        self._job_tracker = tracker
        crashes = crash_counter.CrashCounter(leadership, tracker)
        self._runs = run_tracker.RunTracker(
            leadership, tracker, times, crashes, self._send_stop
        )
        self._lost = lost_workers.LostWorkers(crashes.suspect, crashes.withdraw)
        self._sessions: dict[str, worker_session.WorkerSession] = {}
        self._rejoins = rejoin.RejoinPauses()
        self._listings = run_listings.RunListings(
            leadership, port, tracker, self._runs, times
        )

    @property
    def epoch(self) -> int:
        """Epoch of the leader; the fencing token of all commands."""
        return self._leadership.epoch

    @property
    def known_ids(self) -> list[str]:
        """Workers that are registered, or were when they were last heard of."""
        ids = [worker.worker_id for worker in self.workers.values()]
        return list({*self._registrations.worker_ids, *ids})

    def is_settled(self, worker_id: str) -> bool:
        """Returns whether a repeated registration of a worker changes nothing.

        One that was given up is used again when it renews its registration.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            # One that refuses the token is asked again after growing pauses.
            return self._registrations.is_left_alone(
                worker_id
            ) or self._refusals.is_refusing(worker_id)
        return worker.is_registered

    def unreachable_share(self) -> float:
        """Returns the share of the registered workers that do not answer."""
        return self._registrations.unreachable_share(self.workers)

    def may_start(self) -> bool:
        """Returns whether starts of runs may be sent.

        An evacuation that this leader does not know may be in force while it
        does not get the rows of the operator.
        """
        return self._leadership.authority.may_start() and not self.is_outdated()

    def limit_lease_s(self, lease_s: float) -> float:
        """Returns for how many seconds a lease may be granted."""
        return self._leadership.authority.limit_lease_s(lease_s)

    def stored(self, job_ids: Collection[str]) -> asyncio.Future[None]:
        """Returns a future that is done once the progress of jobs is stored."""
        return self._job_tracker.stored(job_ids)

    def idle_pause_s(self) -> float:
        """Returns the pause between two renewals for a worker without runs."""
        return worker_session.idle_pause_s(len(self.workers))

    def inherit(self, registration: model.Registration) -> None:
        """Adds a worker that may have runs of earlier elections."""
        self.inherited.add(registration.worker_id)
        worker = self._create(registration)
        worker.has_roster_row = True
        worker.is_rostered = True
        worker.is_registered = False
        self._add(worker)

    def replace_former_roster(
        self, registrations: list[model.Registration]
    ) -> None:
        """Adds the workers in the row of earlier versions, and removes it."""
        for registration in registrations:
            if self.workers.get(registration.worker_id) is None:
                self.inherit(registration)
            worker = self.workers.get(registration.worker_id)
            assert worker is not None
            self._roster.add(worker)
        self._roster.remove_row(records.FORMER_ROSTER)

    def start(
        self,
        name: model.RunName,
        step: step_progress.StepProgress,
        worker: fleet.Worker,
        ticket: str,
    ) -> None:
        """Starts a run on a worker, in the background."""
        run = self._runs.begin(name, step, worker)
        session = self._sessions[worker.worker_id]
        send = functools.partial(session.start, run, ticket)
        if step.loss_count(name.task.position):
            send = functools.partial(
                recorded_starts.start,
                session,
                run,
                ticket,
                self,
                self._job_tracker,
            )
        self._leadership.spawn_contained("start", str(name), send)

    def restore_recorded_runs(self) -> None:
        """Restores the runs whose starts an earlier leader has recorded."""
        recorded_runs.restore(
            self._job_tracker.open_steps(), self.workers, self._runs
        )

    def close(self) -> None:
        """Stops repeating commands."""
        for session in self._sessions.values():
            session.close()

    def on_started(self, run: runs.Run) -> None:
        """Handles the confirmation of a start."""
        self._runs.on_started(run)

    def on_uncertain_refusal(
        self, run: runs.Run, outcome: model.StartOutcome
    ) -> None:
        """Stops a run whose start was refused but may still be carried out."""
        self._runs.on_uncertain_refusal(run, outcome)

    def on_refused(self, run: runs.Run, outcome: model.StartOutcome) -> None:
        """Handles a refusal after which the worker never starts the run."""
        self._runs.on_refused(run, outcome)

    def on_registration(self, registration: model.Registration) -> None:
        """Adds a worker or updates its registration."""
        self._registrations.put(registration)
        self._lost.on_registered(registration)
        # It may be in a session that fails, as its process has restarted.
        self._rejoins.forget(registration.worker_id)
        worker = self.workers.get(registration.worker_id)
        if worker is None:
            if self._registrations.is_left_alone(registration.worker_id):
                _log.info(
                    "worker_left_alone",
                    worker=registration.worker_id,
                    service=registration.service,
                )
                return
            joined = self._join(registration)
            # One that refused the token is added to the roster once it answers.
            if not self._refusals.is_refusing(joined.worker_id):
                self._roster.add(joined)
            return
        if registration.is_draining and not worker.registration.is_draining:
            _log.info("worker_draining", worker=worker.worker_id)
        former = worker.registration
        former_largest = worker.largest_capacity
        worker.update_registration(registration)
        has_grown = worker.largest_capacity != former_largest
        if has_grown:
            worker.is_rostered = False
        if former.address != registration.address or (
            has_grown and worker.has_roster_row
        ):
            self._roster.add(worker)
        worker.is_registered = True
        worker.has_vanished = False
        self._leadership.request_plan()

    def adopt_services(self, names: Iterable[str]) -> None:
        """Uses the registered workers of further services.

        Args:
            names: Services that a configuration or an open job names.
        """
        for registration in self._registrations.add_services(names):
            if self.workers.get(registration.worker_id) is None:
                self._roster.add(self._join(registration))

    def on_unregistered(self, worker_id: str) -> None:
        """Stops placing runs on a worker whose registration was removed."""
        self._registrations.remove(worker_id)
        self._refusals.forget(worker_id)
        self._lost.on_vanished(worker_id)
        self._rejoins.forget(worker_id)
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.has_vanished = True
        if worker.is_registered:
            _log.info("worker_unregistered", worker=worker_id)
            worker.is_registered = False

    def on_silent(self, worker: fleet.Worker, cause: str) -> None:
        """Stops placing runs on a worker that does not answer."""
        if worker.contact is fleet.Contact.SILENT:
            return
        if not self._rejoins.is_unreachable(worker.worker_id):
            _log.warning("worker_lost", worker=worker.worker_id, cause=cause)
        worker.contact = fleet.Contact.SILENT
        # Their ends are listed late: their times would include the silence.
        for run in worker.runs.values():
            run.is_timed = False

    def on_gone(
        self, worker: fleet.Worker, has_ended: bool, cause: str
    ) -> None:
        """Ends the runs of a worker that is known to be gone."""
        has_crashed = has_ended and not worker.is_leaving
        if not self._rejoins.is_unreachable(worker.worker_id):
            _log.warning(
                "worker_gone",
                worker=worker.worker_id,
                runs=len(worker.runs),
                has_crashed=has_crashed,
                cause=cause,
            )
        worker.contact = fleet.Contact.GONE
        self.workers.remove(worker)
        self._sessions.pop(worker.worker_id, None)
        self.inherited.discard(worker.worker_id)
        self._deferred.pop(worker.worker_id, None)
        if not has_ended:
            self._lost.add(worker)
        how = model.EndReason.LAPSED
        if has_crashed:
            how = model.EndReason.CRASHED
        for run in list(worker.runs.values()):
            with containment.suppressed("run", str(run.name)):
                self._runs.end(run, how, "", "worker is gone")
        self._roster.remove(worker)
        pause_s = self._rejoins.give_up(worker.worker_id)
        self._leadership.spawn_contained(
            "session",
            worker.worker_id,
            lambda: self._rejoin(worker.worker_id, pause_s),
        )
        self._leadership.request_plan()

    def on_fenced(self, worker: fleet.Worker, cause: str) -> None:
        """Gives up a worker that refuses the fencing token.

        The leadership ends only if no worker may accept it.
        """
        now = clock.now_s()
        if self._refusals.record(worker.worker_id, now):
            _log.warning("fenced", worker=worker.worker_id, cause=cause)
        self.on_silent(worker, cause)
        if self._refusals.is_general(
            self._registrations.used_ids, self.workers.may_accept, now
        ):
            self._leadership.fail("fence", "no worker accepts its token")

    def on_listing(
        self,
        worker: fleet.Worker,
        listing: model.WorkerListing,
        sent_s: float,
    ) -> None:
        """Applies a worker's listing of its runs, or keeps it for later."""
        now = clock.now_s()
        if listing.born_ms != worker.born_ms:
            self._on_other_incarnation(worker, listing)
        worker.observe_clock(listing.clock_ms, now)
        if worker.contact is not fleet.Contact.ANSWERING:
            _log.info("worker_answers", worker=worker.worker_id)
            self._lost.on_heard(worker.process)
            worker.contact = fleet.Contact.ANSWERING
            self._refusals.forget(worker.worker_id)
            self._rejoins.forget(worker.worker_id)
            self._leadership.request_plan()
        if not worker.has_roster_row:
            self._roster.add(worker)
        if self.ready.is_set():
            self._apply(worker, listing, sent_s)
        else:
            self._deferred[worker.worker_id] = (listing, sent_s)

    def _on_other_incarnation(
        self, worker: fleet.Worker, listing: model.WorkerListing
    ) -> None:
        """Ends the runs of an earlier incarnation that has crashed.

        The runs of one that was draining lapse, as the listing lacks them.
        """
        former = worker.process
        was_leaving = worker.is_leaving
        worker.reset_incarnation(
            listing.born_ms, clock.now_s(), _INCARNATION_LEASE_S
        )
        if was_leaving or not former.is_other(worker.process):
            return
        _log.warning(
            "worker_restarted",
            worker=worker.worker_id,
            runs=len(worker.runs),
            born_ms=listing.born_ms,
        )
        for run in list(worker.runs.values()):
            self._runs.on_worker_restarted(run)

    def apply_deferred_listings(self) -> None:
        """Applies the listings that arrived before the jobs were known."""
        self.ready.set()
        deferred, self._deferred = self._deferred, {}
        for worker_id, (listing, sent_s) in deferred.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                continue
            try:
                with containment.contained("session", worker_id):
                    self._apply(worker, listing, sent_s)
            except errors.MarigoldgapError as error:
                # Its session reads the listing again.
                self.on_silent(worker, str(error))

    def _apply(
        self,
        worker: fleet.Worker,
        listing: model.WorkerListing,
        sent_s: float,
    ) -> None:
        was_blocked = (
            worker.worker_id in self.inherited
            or worker.unknown_runs
            or worker.pending_ends
        )
        self._listings.apply(worker, listing, sent_s)
        if listing.is_complete:
            self.inherited.discard(worker.worker_id)
        # Most listings of a large fleet change nothing that a plan depends on.
        if listing.ended or was_blocked:
            self._leadership.request_plan()

    def _create(self, registration: model.Registration) -> fleet.Worker:
        return fleet.Worker(
            registration,
            clock.now_s(),
            self.inherited.lease_s(registration.worker_id),
        )

    def _join(self, registration: model.Registration) -> fleet.Worker:
        worker = self._create(registration)
        if not self._rejoins.is_unreachable(worker.worker_id):
            _log.info(
                "worker_joined",
                worker=worker.worker_id,
                address=registration.address,
            )
        self._add(worker)
        return worker

    def _add(self, worker: fleet.Worker) -> None:
        self.workers.add(worker)
        session = worker_session.WorkerSession(self, worker, self._port)
        self._sessions[worker.worker_id] = session
        self._leadership.spawn_contained(
            "session", worker.worker_id, session.run
        )

    async def _rejoin(self, worker_id: str, pause_s: float) -> None:
        """Opens a new session with a removed worker that is still registered.

        Its registration does not change if only its network was cut.
        """
        await asyncio.sleep(pause_s)
        registration = self._registrations.get_used(worker_id)
        if registration is not None and self.workers.get(worker_id) is None:
            # It is added to the roster once it answers.
            self._join(registration)

    def _send_stop(self, run: runs.Run) -> None:
        session = self._sessions.get(run.worker.worker_id)
        if session is not None:
            self._leadership.spawn_contained(
                "stop", str(run.name), lambda: session.stop(run)
            )
