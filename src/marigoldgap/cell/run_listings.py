"""Applies a worker's listing of its runs to the runs that are tracked."""

from __future__ import annotations

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap.cell import fleet
from marigoldgap.cell import job_tracker
from marigoldgap.cell import leadership as leaderships
from marigoldgap.cell import model
from marigoldgap.cell import ports
from marigoldgap.cell import run_times
from marigoldgap.cell import run_tracker
from marigoldgap.cell import runs
from marigoldgap.cell import unknown_runs

_log = decision_log.DecisionLogger("runs")

# Time for which no run is started on a worker on which one was stuck.
_STUCK_PAUSE_S = 3.0
# Progress of a run that is complete but may not be listed as ended yet.
_COMPLETE_PERCENT = 100.0


class RunListings:
    """Updates runs from listings, and stops those without progress.

    Args:
        leadership: The current leadership.
        port: Sends commands to workers.
        tracker: Tracks the jobs.
        tracked_runs: Tracks the runs.
        times: Learned run times.
    """

    def __init__(
        self,
        leadership: leaderships.Leadership,
        port: ports.WorkerPort,
        tracker: job_tracker.JobTracker,
        tracked_runs: run_tracker.RunTracker,
        times: run_times.RunTimes,
    ) -> None:
        self._job_tracker = tracker
        self._runs = tracked_runs
        self._times = times
        self._unknown_runs = unknown_runs.UnknownRuns(leadership, port, tracker)

    def apply(
        self,
        worker: fleet.Worker,
        listing: model.WorkerListing,
        sent_s: float,
    ) -> None:
        """Applies a listing.

        Args:
            worker: The worker.
            listing: Its running and ended runs.
            sent_s: Monotonic time at which it was requested, in seconds.
        """
        now = clock.now_s()
        listed = {ended.name for ended in listing.ended}
        self._apply_ends(worker, listing, now)
        for active in listing.running:
            listed.add(active.name)
            self._on_running(worker, active, now)
        if listing.is_complete:
            self._end_unlisted(worker, listed, sent_s)
        else:
            _log.info(
                "listing_cut",
                worker=worker.worker_id,
                ended=len(listing.ended),
                handled_number=worker.handled_number,
                stored_number=worker.stored_number,
            )
        self._unknown_runs.drop_known(
            worker, {active.name for active in listing.running}
        )

    def _end_unlisted(
        self, worker: fleet.Worker, listed: set[model.RunName], sent_s: float
    ) -> None:
        """Ends the runs that a complete listing lacks.

        A run whose start was confirmed before the listing was requested is in
        it, unless the worker has lost the run.
        """
        for run in list(worker.runs.values()):
            if run.confirmed_s < sent_s and run.name not in listed:
                self._runs.end(run, model.EndReason.LAPSED, "", "not listed")

    def _apply_ends(
        self,
        worker: fleet.Worker,
        listing: model.WorkerListing,
        now: float,
    ) -> None:
        """Applies the ends that have not been handled yet.

        An end whose job is not known yet stays unacknowledged, and so do those
        after it, as the worker forgets all ends up to a number.
        """
        pending: dict[model.RunName, float] = {}
        for ended in sorted(listing.ended, key=lambda ended: ended.number):
            if not worker.is_end_handled(ended.number):
                listed_s = worker.pending_ends.get(ended.name, now)
                if not self._runs.on_ended(worker, ended, listed_s):
                    pending[ended.name] = listed_s
                    continue
                worker.unstored_jobs.add(ended.name.task.job_id)
            worker.record_handled_end(ended.number, may_acknowledge=not pending)
        for name in pending.keys() - worker.pending_ends.keys():
            _log.info(
                "end_of_unknown_job", run=str(name), worker=worker.worker_id
            )
        if not listing.is_complete:
            pending |= self._withheld_ends(worker, listing)
        worker.pending_ends = pending

    def _withheld_ends(
        self, worker: fleet.Worker, listing: model.WorkerListing
    ) -> dict[model.RunName, float]:
        """Returns the unknown runs that a cut listing may lack as ended."""
        listed = {active.name for active in listing.running}
        listed |= {ended.name for ended in listing.ended}
        unknown = {**worker.unknown_runs, **worker.pending_ends}
        return {
            name: since_s
            for name, since_s in unknown.items()
            if name not in listed
            and not self._job_tracker.is_absent(name.task.job_id, since_s)
        }

    def _on_running(
        self, worker: fleet.Worker, active: model.ActiveRun, now: float
    ) -> None:
        run = worker.runs.get(active.name)
        if run is None:
            run = self._runs.adopt(worker, active, now)
        if run is None:
            self._unknown_runs.on_listed(worker, active.name, now)
            return
        if run.state is runs.RunState.STARTING:
            run.confirmed_s = now
        self._runs.on_started(run)
        worker.record_progress(run, now)
        if active.percent != run.percent:
            run.percent = active.percent
            run.progressed_s = now
        elif now - run.progressed_s > self._stuck_after_s(run):
            self._on_stuck(run, now)
        if active.saved:
            run.step.keep_saved(run.name.task.position, active.saved)

    def _stuck_after_s(self, run: runs.Run) -> float:
        avoided = run.step.avoid.get(run.name.task.position, ())
        return runs.stuck_after_s(
            self._times.expected_on_s(run, clock.now_s()), len(avoided)
        )

    def _on_stuck(self, run: runs.Run, now: float) -> None:
        """Stops a run without progress, so that another worker repeats it."""
        if (
            run.state is not runs.RunState.RUNNING
            or run.percent >= _COMPLETE_PERCENT
            or run.step.spec.is_long_running
        ):
            return
        worker = run.worker
        worker.avoid_until_s = max(worker.avoid_until_s, now + _STUCK_PAUSE_S)
        run.step.avoid_worker(run.name.task.position, worker.worker_id)
        self._runs.stop(run, "no progress")
