"""Stops the runs that workers list but whose jobs remain unknown."""

from __future__ import annotations

from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap.cell import fleet
from marigoldgap.cell import job_tracker
from marigoldgap.cell import leadership as leaderships
from marigoldgap.cell import model
from marigoldgap.cell import ports

_log = decision_log.DecisionLogger("workers")

# Time for which the row of a job may arrive later than a listing of its run.
_UNKNOWN_JOB_GRACE_S = 2.0
# Timeout of the command to stop a run of an unknown job.
_STOP_TIMEOUT_S = 1.0


class UnknownRuns:
    """Waits for the jobs of unknown runs, then stops the runs.

    Args:
        leadership: The current leadership.
        port: Sends commands to workers.
        tracker: Tracks the jobs.
    """

    def __init__(
        self,
        leadership: leaderships.Leadership,
        port: ports.WorkerPort,
        tracker: job_tracker.JobTracker,
    ) -> None:
        self._leadership = leadership
        self._port = port
        self._job_tracker = tracker
        self._stopping: set[model.RunName] = set()

    def on_listed(
        self, worker: fleet.Worker, name: model.RunName, now: float
    ) -> None:
        """Stops a run whose job is known not to be stored.

        The row of a job that was accepted during the election may arrive later
        than the listing of its run.
        """
        since = worker.unknown_runs.setdefault(name, now)
        if name in self._stopping or not self._is_orphan(name, since, now):
            return
        self._stopping.add(name)
        _log.warning(
            "unknown_run_stopping", run=str(name), worker=worker.worker_id
        )
        self._leadership.spawn_contained(
            "stop", str(name), lambda: self._stop(worker, name)
        )

    def _is_orphan(self, name: model.RunName, since: float, now: float) -> bool:
        """Returns whether a run that is listed since a time has no open job."""
        job_id = name.task.job_id
        if self._job_tracker.is_archived(job_id):
            return True
        if now - since < _UNKNOWN_JOB_GRACE_S:
            return False
        return job_id in self._job_tracker.jobs or self._job_tracker.is_absent(
            job_id, since
        )

    def drop_known(
        self, worker: fleet.Worker, running: set[model.RunName]
    ) -> None:
        """Drops unknown runs that have ended or whose job is now known."""
        for name in list(worker.unknown_runs):
            if name not in running or name in worker.runs:
                del worker.unknown_runs[name]
                self._stopping.discard(name)

    async def _stop(self, worker: fleet.Worker, name: model.RunName) -> None:
        try:
            is_accepted = await self._port.stop(
                worker.registration,
                name,
                self._leadership.epoch,
                _STOP_TIMEOUT_S,
            )
        except errors.MarigoldgapError as error:
            _log.warning("stop_unanswered", run=str(name), cause=str(error))
            is_accepted = False
        if not is_accepted:
            # The next listing shows the run again, which repeats the command.
            self._stopping.discard(name)
