"""Counts crashed workers under tasks, and fails jobs that crash too many."""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap.cell import job_tracker
from marigoldgap.cell import leadership as leaderships
from marigoldgap.cell import model
from marigoldgap.cell import runs

_log = decision_log.DecisionLogger("crashes")

# A job fails when this many workers have been lost under one of its tasks, and
# at least two of them have certainly crashed while it ran.
_MAX_CRASHES = 3
_MIN_PROVEN_CRASHES = 2
# A job fails when this many workers have been lost, if fewer are certain.
_MAX_LOSSES = 4
# A crash is not attributed to runs that have lasted longer, in seconds.
_MAX_CRASH_RUN_S = 600.0


class CrashCounter:
    """Counts the workers that crashed, or probably did, under each task.

    A task waits until the count is stored, so that the next leader knows it.

    Args:
        leadership: The current leadership.
        tracker: Tracks the jobs.
    """

    def __init__(
        self,
        leadership: leaderships.Leadership,
        tracker: job_tracker.JobTracker,
    ) -> None:
        self._leadership = leadership
        self._job_tracker = tracker

    def count(self, run: runs.Run) -> None:
        """Counts a crashed worker under the task of a run that it has lost.

        A worker may have crashed before the start of the run reached it.
        """
        if not run.has_begun:
            self.suspect(run)
        elif _may_have_crashed(run):
            run.step.record_crash(run.name)
            self._conclude(run)

    def suspect(self, run: runs.Run) -> None:
        """Counts a lost worker that has probably crashed."""
        if _may_have_crashed(run):
            run.step.record_suspicion(run.name)
            self._conclude(run)

    def withdraw(self, run: runs.Run) -> None:
        """Undoes the count of a lost worker that has not crashed."""
        step = run.step
        step.withdraw_suspicion(run.name)
        if not step.job.is_ended:
            _log.info("suspicion_withdrawn", run=str(run.name))
            self._job_tracker.store_task(step, run.name.task.position)

    def _conclude(self, run: runs.Run) -> None:
        """Fails the job of a task, or stores the count before its next run."""
        step = run.step
        job = step.job
        position = run.name.task.position
        crashes = step.crash_count(position)
        losses = step.loss_count(position)
        _log.warning(
            "crash_counted",
            run=str(run.name),
            worker=run.worker.worker_id,
            crashes=crashes,
            losses=losses,
        )
        is_proven = crashes >= _MIN_PROVEN_CRASHES
        if losses >= (_MAX_CRASHES if is_proven else _MAX_LOSSES):
            self._job_tracker.end(
                job,
                model.JobState.FAILED,
                f"{crashes} workers crashed and {losses - crashes} have "
                f"probably crashed under task {position} of step {step.number}",
            )
            return
        step.unstored_crashes.add(position)
        step.waiting.discard(position)
        self._job_tracker.store_task(step, position)

        def mark_stored(_: asyncio.Future[None]) -> None:
            step.unstored_crashes.discard(position)
            step.make_waiting(position)
            self._leadership.request_plan()

        self._job_tracker.stored({job.job_id}).add_done_callback(mark_stored)


def _may_have_crashed(run: runs.Run) -> bool:
    """Returns whether the task of a run may have crashed its worker."""
    step = run.step
    return not (
        run.is_unstarted
        or clock.now_s() - run.started_s > _MAX_CRASH_RUN_S
        or step.is_task_done(run.name.task.position)
        or step.job.is_ended
    )
