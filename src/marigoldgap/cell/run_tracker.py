"""Tracks runs: handles their confirmed starts, refusals, stops and ends."""

from __future__ import annotations

from collections.abc import Callable
import math

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import measures
from marigoldgap.cell import crash_counter
from marigoldgap.cell import fleet
from marigoldgap.cell import job_tracker
from marigoldgap.cell import leadership as leaderships
from marigoldgap.cell import model
from marigoldgap.cell import run_times
from marigoldgap.cell import runs
from marigoldgap.cell import step_progress

_log = decision_log.DecisionLogger("runs")

# Pause before a gang is planned again after a refused start.
_GANG_RETRY_S = 0.15
# Pause before a step is planned again after a worker rejected it as invalid.
_REJECTED_RETRY_S = 1.0
# Refusals after which a gang avoids the worker: the worker may refuse the next
# start as well, and the stopped members need longer than its pause to end.
_AVOIDED_OUTCOMES = frozenset(
    {
        model.StartOutcome.NO_ROOM,
        model.StartOutcome.UNHEALTHY,
        model.StartOutcome.REJECTED,
    }
)
# Time for which no run is started on a worker that refused a start because it
# had too little free capacity.
_NO_ROOM_PAUSE_S = 0.3


class RunTracker:
    """Updates runs, steps and jobs from answers and listings of workers.

    Args:
        leadership: The current leadership.
        tracker: Tracks the jobs.
        times: Learns run times.
        crashes: Counts crashed workers.
        send_stop: Sends the command to stop a run to its worker.
    """

    def __init__(
        self,
        leadership: leaderships.Leadership,
        tracker: job_tracker.JobTracker,
        times: run_times.RunTimes,
        crashes: crash_counter.CrashCounter,
        send_stop: Callable[[runs.Run], None],
    ) -> None:
        self._leadership = leadership
        self._job_tracker = tracker
        self._times = times
        self._crashes = crashes
        self._send_stop = send_stop
        tracker.stop_run = self.stop

    def begin(
        self,
        name: model.RunName,
        step: step_progress.StepProgress,
        worker: fleet.Worker,
    ) -> runs.Run:
        """Creates a run and allocates its resources, before its start is sent.

        Args:
            name: Name of the run.
            step: Step of its task.
            worker: Worker on which it starts.
        """
        position = name.task.position
        run = runs.Run(name, step, worker, clock.now_s())
        # Only whole runs on workers at their usual speed are learned from.
        run.is_timed = not step.saved_for(position) and not worker.is_cold(
            run.started_s
        )
        step.last_run[position] = name.run
        step.active[position] = run
        step.waiting.discard(position)
        step.isolated_since_s.pop(position, None)
        worker.add(run)
        expected = self._times.explain(step)
        run.expected_s = expected.seconds
        _log.info(
            "run_starting",
            run=str(name),
            worker=worker.worker_id,
            free_after=worker.free(),
            expected_s=expected.seconds,
            expected_from=expected.source,
        )
        return run

    def on_started(self, run: runs.Run) -> None:
        """Handles the confirmation of a start."""
        run.has_begun = True
        if run.state is not runs.RunState.STARTING:
            return
        run.state = runs.RunState.RUNNING
        job = run.step.job
        if not job.has_begun:
            job.has_begun = True
            measures.FIRST_START_S.labels(job.queue.priority).observe(
                clock.now_s() - job.received_s
            )
            _log.info(
                "job_began",
                job=job.job_id,
                waited_s=round(clock.now_s() - job.received_s, 3),
            )
        if job.state is model.JobState.QUEUED:
            job.state = model.JobState.RUNNING

    def on_uncertain_refusal(
        self, run: runs.Run, outcome: model.StartOutcome
    ) -> None:
        """Stops a run whose start was refused but may still be carried out.

        An earlier start command for the run got no answer.
        """
        if outcome is model.StartOutcome.NO_TICKET:
            run.step.tickets.pop(run.worker.worker_id, None)
        self.stop(
            run,
            f"start refused as {outcome.value} after an unanswered start",
        )
        if outcome is model.StartOutcome.UNANSWERED:
            self._suspect_worker(run)
        if run.step.spec.is_gang:
            self._avoid_after(run, outcome)
            self.stop_gang(
                run.step,
                f"start of a member is unconfirmed: {outcome.value}",
            )

    def on_refused(self, run: runs.Run, outcome: model.StartOutcome) -> None:
        """Handles a refusal after which the worker never starts the run."""
        now = clock.now_s()
        step = run.step
        worker = run.worker
        _log.warning(
            "start_refused",
            run=str(run.name),
            worker=worker.worker_id,
            outcome=outcome.value,
        )
        if outcome is model.StartOutcome.NO_TICKET:
            step.tickets.pop(worker.worker_id, None)
        elif outcome is model.StartOutcome.NO_ROOM:
            worker.avoid_until_s = now + _NO_ROOM_PAUSE_S
        elif outcome is model.StartOutcome.REJECTED:
            step.not_before_s = now + _REJECTED_RETRY_S
            step.avoid_worker(run.name.task.position, worker.worker_id)
        elif outcome is model.StartOutcome.UNANSWERED:
            self._suspect_worker(run)
        self._release(run)
        if step.spec.is_gang:
            self._avoid_after(run, outcome)
            step.not_before_s = max(step.not_before_s, now + _GANG_RETRY_S)
            self.stop_gang(
                step, f"start of a member was refused: {outcome.value}"
            )
        self._leadership.request_plan()

    def on_ended(
        self, worker: fleet.Worker, ended: model.EndedRun, listed_s: float
    ) -> bool:
        """Handles an ended run that a worker listed.

        Args:
            worker: The worker.
            ended: The run.
            listed_s: Monotonic time, in seconds, at which the worker first
                listed it as ended.

        Returns:
            Whether the end may be acknowledged once the state is stored. It may
            not while its job may be stored but is not known here yet.
        """
        run = worker.runs.get(ended.name)
        if run is not None:
            self.end(run, ended.how, ended.saved, "listed by its worker")
            return True
        task = ended.name.task
        job = self._job_tracker.jobs.get(task.job_id)
        if job is None:
            return self._job_tracker.is_absent(task.job_id, listed_s)
        step = job.started_step(task)
        if step is None or job.is_ended:
            return True
        _log.info(
            "former_run_ended",
            run=str(ended.name),
            worker=worker.worker_id,
            how=ended.how.value,
        )
        step.last_run[task.position] = max(
            step.last_run.get(task.position, 0), ended.name.run
        )
        step.keep_saved(task.position, ended.saved)
        job.has_begun = True
        if ended.how is model.EndReason.DONE and not step.spec.is_long_running:
            step.mark_done(task.position)
            other = step.active.get(task.position)
            if other is not None:
                self.stop(other, "another run of the task is done")
        elif ended.how is model.EndReason.FAILED:
            self._count_failure(step, ended.name)
        self._update_job(step, task.position)
        return True

    def restore(
        self,
        name: model.RunName,
        step: step_progress.StepProgress,
        worker: fleet.Worker,
    ) -> runs.Run:
        """Restores a run whose start an earlier leader has recorded.

        A listing that is requested from now on shows whether it still runs: its
        worker rejects starts of the earlier leader by then.
        """
        run = self.begin(name, step, worker)
        position = name.task.position
        step.last_run[position] = max(name.run, step.job.run_floor)
        run.confirmed_s = run.started_s
        # It was started before, by another leader.
        run.is_timed = False
        return run

    def adopt(
        self, worker: fleet.Worker, active: model.ActiveRun, now: float
    ) -> runs.Run | None:
        """Adopts a run that was started in an earlier election.

        Returns:
            The run, or None if its job is not known here yet.
        """
        task = active.name.task
        job = self._job_tracker.jobs.get(task.job_id)
        if job is None:
            return None
        step = job.started_step(task) or job.ended_step(task)
        if step is None:
            return None
        run = runs.Run(active.name, step, worker, now)
        run.state = runs.RunState.RUNNING
        run.has_begun = True
        run.confirmed_s = now
        run.percent = active.percent
        worker.add(run)
        step.last_run[task.position] = max(
            step.last_run.get(task.position, 0), active.name.run
        )
        if (
            job.is_ended
            or step.is_task_done(task.position)
            or task.position in step.active
        ):
            self.stop(
                run, "its job has ended, or its task is done or has another run"
            )
            return run
        step.active[task.position] = run
        step.waiting.discard(task.position)
        job.has_begun = True
        job.state = model.JobState.RUNNING
        _log.info("run_adopted", run=str(active.name), worker=worker.worker_id)
        return run

    def end(
        self, run: runs.Run, how: model.EndReason, saved: str, cause: str
    ) -> None:
        """Ends a run: frees its resources, updates its task and its job."""
        now = clock.now_s()
        step = run.step
        position = run.name.task.position
        measures.RUNS.labels(how.value).inc()
        _log.info(
            "run_ended",
            run=str(run.name),
            worker=run.worker.worker_id,
            how=how.value,
            took_s=round(now - run.started_s, 3),
            expected_s=run.expected_s,
            cause=cause,
        )
        step.keep_saved(position, saved)
        self._release(run)
        if how is model.EndReason.DONE:
            run.worker.record_done()
            # A long-running task is restarted until its job is cancelled.
            if not step.spec.is_long_running:
                self._record_time(run, now)
                step.mark_done(position)
                other = step.active.get(position)
                if other is not None:
                    self.stop(other, "another run of the task is done")
        elif how is model.EndReason.FAILED:
            if run.worker.record_failure(step.job.job_id, now):
                _log.warning("worker_quarantined", worker=run.worker.worker_id)
            step.avoid_worker(position, run.worker.worker_id)
            self._count_failure(step, run.name)
        elif how is model.EndReason.CRASHED:
            self._crashes.count(run)
        if how is not model.EndReason.DONE and step.spec.is_gang:
            self.stop_gang(step, f"a run of a member ended as {how.value}")
        self._update_job(step, position)

    def _record_time(self, run: runs.Run, now: float) -> None:
        """Records how long a completed run took, if that is known.

        Of a gang, the first member that is done counts: the others run on by
        then. A gang that is slow on several racks counts only on one rack.
        """
        step = run.step
        if not run.is_timed or (step.spec.is_gang and step.is_done):
            return
        if step.spec.same_rack and any(
            other.worker.registration.rack != run.worker.registration.rack
            for other in step.active.values()
        ):
            return
        elapsed_s = now - run.started_s
        for source, expected_s in (
            ("declared", step.spec.estimate_ms / 1000),
            ("learned", self._times.expected_s(step)),
        ):
            if expected_s > 0 and elapsed_s > 0:
                measures.RUN_TIME_ERROR.labels(source).observe(
                    math.log(elapsed_s / expected_s)
                )
        self._times.record(
            step,
            run_times.FinishedRun(
                run.worker.worker_id,
                run.worker.born_ms,
                elapsed_s,
                run.is_far,
            ),
            now,
        )

    def on_worker_restarted(self, run: runs.Run) -> None:
        """Handles the crash of the incarnation on which a run was started.

        A start without an answer may still reach the next incarnation, so such
        a run is stopped first.
        """
        if run.confirmed_s < float("inf"):
            self.end(run, model.EndReason.CRASHED, "", "worker has restarted")
            return
        self._crashes.count(run)
        self.stop(run, "worker has restarted")
        self._update_job(run.step, run.name.task.position)

    def stop(self, run: runs.Run, cause: str) -> None:
        """Stops a run; it keeps its resources until it has ended."""
        if run.state in (runs.RunState.STOPPING, runs.RunState.ENDED):
            return
        run.state = runs.RunState.STOPPING
        _log.info(
            "run_stopping",
            run=str(run.name),
            worker=run.worker.worker_id,
            cause=cause,
        )
        self._send_stop(run)

    def stop_gang(self, step: step_progress.StepProgress, cause: str) -> None:
        """Stops the runs of all members of a gang."""
        for member in list(step.active.values()):
            self.stop(member, cause)

    def _suspect_worker(self, run: runs.Run) -> None:
        """Handles a worker that answers renewals but not the start of a run."""
        worker = run.worker
        run.step.avoid_worker(run.name.task.position, worker.worker_id)
        if worker.record_failure(run.step.job.job_id, clock.now_s()):
            _log.warning("worker_quarantined", worker=worker.worker_id)

    def _avoid_after(self, run: runs.Run, outcome: model.StartOutcome) -> None:
        if outcome in _AVOIDED_OUTCOMES:
            run.step.avoid_worker(run.name.task.position, run.worker.worker_id)

    def _count_failure(
        self, step: step_progress.StepProgress, name: model.RunName
    ) -> None:
        if step.spec.is_long_running:
            # It has no maximum of failures, so their list would grow for ever.
            return
        failures = step.record_failure(name)
        job = step.job
        if failures >= job.queue.attempts and not job.is_ended:
            self._job_tracker.end(
                job,
                model.JobState.FAILED,
                f"task {name.task.position} of step {step.number} failed "
                f"{failures} times",
            )

    def _update_job(
        self, step: step_progress.StepProgress, position: int
    ) -> None:
        job = step.job
        if not job.is_ended:
            if step.is_done and job.close_done():
                self._job_tracker.end(
                    job, model.JobState.COMPLETED, "all tasks done"
                )
            else:
                self._job_tracker.store_task(step, position)
        self._leadership.request_plan()

    def _release(self, run: runs.Run) -> None:
        """Frees the resources of a run that has ended or never starts."""
        run.state = runs.RunState.ENDED
        run.worker.remove(run)
        step = run.step
        position = run.name.task.position
        if step.active.get(position) is not run:
            return
        del step.active[position]
        if step.recorded_starts.pop(position, None) is not None:
            self._job_tracker.store_task(step, position)
        step.make_waiting(position)
