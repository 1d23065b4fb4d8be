"""The elected instance of a cell: owns its jobs, workers and decisions."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import functools
from typing import Any

from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import advice_desk
from marigoldgap.cell import fair_rate
from marigoldgap.cell import fleet
from marigoldgap.cell import jobs
from marigoldgap.cell import journal
from marigoldgap.cell import model
from marigoldgap.cell import planner
from marigoldgap.cell import ports
from marigoldgap.cell import records
from marigoldgap.cell import run_times
from marigoldgap.cell import store
from marigoldgap.cell import time_source
from marigoldgap.cell import worker_session

_log = decision_log.DecisionLogger("scheduler")

# Interval of the beat that shows that the elected instance works.
BEAT_S = 0.3
# Without the store for this long, the duty is offered to other instances:
# where it refuses, and where it does not answer.
_REFUSED_LIMIT_S = 0.25
_SILENT_LIMIT_S = 0.9
# Pause between two looks at that.
_STORE_WATCH_S = 0.1
# Shortest time between two plans.
_PLAN_PAUSE_S = 0.005
# Pause after a plan as a multiple of its time: planning takes at most a
# third of the processor.
_PLAN_REST = 2.0
# A plan is made at least this often: back-offs and due times pass.
_TICK_S = 0.1
# A run without progress for this long is taken as stuck.
_STUCK_S = 3.0
# Progress at which a run counts as complete but for its report.
_COMPLETE_PERCENT = 100.0
# Leases of an earlier elected instance end within 6 s (`holdMaxMs`) on a clock
# that may be 2% slow.
_INHERITED_LEASE_S = 6.3
# How long the row of a job may arrive later than the listing of its run.
_UNKNOWN_JOB_S = 2.0
# Run numbers that one election may use for a task.
_RUNS_PER_ELECTION = 1_000
# Pause before a gang that could not start is planned again.
_GANG_RETRY_S = 0.15
# Pause before a task is tried again that a worker rejected as invalid.
_REJECTED_RETRY_S = 1.0
# A worker that has no room by its own account gets no start for this long.
_NO_ROOM_PAUSE_S = 0.3


class Scheduler:
    """Runs one election's worth of scheduling.

    Args:
        rows: The store.
        election: The election row that this instance wrote.
        fence: Fencing token; the number of the election.
        port: Calls to workers.
        lanes: Returns the instances that can ask for advice.
        configuration: Returns the configuration in force.
        offer: Offers the duty to other instances; returns whether one took it.
    """

    def __init__(
        self,
        rows: store.Store,
        election: store.Row,
        fence: int,
        port: ports.WorkerPort,
        lanes: Any,
        configuration: Any,
        offer: Callable[[int], Awaitable[bool]],
    ) -> None:
        self.fence = fence
        self.jobs: dict[str, jobs.Job] = {}
        self.workers = fleet.Fleet()
        self.is_recovered = False
        self._rows = rows
        self._election = election
        self._port = port
        self._configuration = configuration
        self._offer = offer
        self._times = run_times.RunTimes()
        self._planner = planner.Planner(self.workers, self._times)
        self._desk = advice_desk.AdviceDesk(lanes, self._wake)
        self._rates = fair_rate.FairRates()
        self._versions: dict[store.RowKey, int] = {}
        self._journal = journal.Journal(rows, election, self._versions)
        self._sessions: dict[str, worker_session.WorkerSession] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unresolved: set[str] = set()
        self._changed = asyncio.Event()
        self._deposed = asyncio.Event()
        self._beats = 0
        self._is_planning = True
        self._orphans: set[model.RunName] = set()

    async def recover(self, roster: bytes | None, version: int) -> None:
        """Reads jobs, their progress and the workers of earlier elections.

        Args:
            roster: The stored roster.
            version: Version of the roster's row; 0 if there is none.

        Raises:
            StoreError: The store could not be read.
        """
        self._versions[records.ROSTER] = version
        pages = await asyncio.gather(
            store.read_all(self._rows, records.PROGRESS, records.CELL),
            *(
                store.read_all(self._rows, records.JOBS, partition)
                for partition in records.JOB_PARTITIONS
            ),
        )
        self.jobs_version = min(page.version for page in pages[1:])
        progress = {row.place.key: row for row in pages[0].rows}
        for page in pages[1:]:
            for row in page.rows:
                self._restore_job(row, progress.get(row.place.key))
        now = time_source.now_s()
        if roster is not None:
            for registration in records.decode_roster(roster):
                worker = fleet.Worker(registration, now, _INHERITED_LEASE_S)
                worker.is_rostered = True
                worker.is_listed = False
                self._unresolved.add(worker.worker_id)
                self._add_worker(worker)
        self.is_recovered = True
        _log.info(
            "recovered",
            jobs=len(self.jobs),
            workers=len(self.workers),
            epoch=self.fence,
        )

    async def run(self) -> None:
        """Schedules until another instance is elected."""
        self._spawn(self._run_journal())
        self._spawn(self._beat())
        self._spawn(self._plan_repeatedly())
        self._spawn(self._watch_store())
        await self._deposed.wait()

    def close(self) -> None:
        """Ends all conversations and orders."""
        self._is_planning = False
        self._desk.close()
        for session in self._sessions.values():
            session.close()
        for task in list(self._tasks):
            task.cancel()

    def stop_planning(self) -> None:
        """Starts nothing more; what runs goes on."""
        self._is_planning = False

    def flushed(self) -> asyncio.Future[None]:
        """Returns a future that is done when what is known is stored."""
        return self._journal.flushed()

    # Jobs.

    def add_job(self, record: model.JobRecord) -> None:
        """Takes over an accepted job, or its cancelling."""
        job = self.jobs.get(record.job_id)
        if job is None:
            job = self._new_job(record, 0)
            _log.info(
                "job_queued",
                job=record.job_id,
                workspace=record.workspace,
                queue=record.queue.name,
            )
        if record.is_cancelled and not job.is_ended:
            self._end_job(job, model.JobState.CANCELLED, "cancelled by caller")
        self._wake()

    def drop_job(self, job_id: str) -> None:
        """Forgets a job whose row was removed."""
        self.jobs.pop(job_id, None)

    def waiting_jobs(self, queue: str) -> int:
        """Returns how many jobs of a queue have not begun."""
        return sum(
            1
            for job in self.jobs.values()
            if job.queue.name == queue
            and not job.has_begun
            and not job.is_ended
        )

    def adopt_configuration(self, configuration: model.Configuration) -> None:
        """Applies changed queues to the jobs."""
        for job in self.jobs.values():
            queue = configuration.queue_named(job.queue.name)
            if queue is not None:
                job.queue = queue
        self._wake()

    def _new_job(self, record: model.JobRecord, run_floor: int) -> jobs.Job:
        configuration = self._configuration()
        queue = record.queue
        if configuration is not None:
            queue = configuration.queue_named(queue.name) or queue
            workspace = configuration.workspaces.get(record.workspace)
        else:
            workspace = None
        now = time_source.now_s()
        job = jobs.Job(record, queue, now, run_floor)
        if workspace is not None and not run_floor:
            job.is_over_share = self._rates.is_over(workspace, now)
        job.open_due(time_source.wall_ms())
        self.jobs[record.job_id] = job
        return job

    def _restore_job(self, row: store.Row, progress: store.Row | None) -> None:
        try:
            record = records.decode_job(row.place.key, row.value)
            floor = (self.fence - 1) * _RUNS_PER_ELECTION
            job = self._new_job(record, floor)
            if progress is not None:
                self._versions[progress.place] = progress.version
                job.occurrences.clear()
                job.restore(records.decode(progress.value))
                job.is_stored = job.is_ended
        except (errors.MarigoldgapError, ValueError) as error:
            _log.error("job_row_unusable", job=row.place.key, cause=str(error))
            return
        if job.is_ended:
            return
        if record.is_cancelled:
            self._end_job(job, model.JobState.CANCELLED, "cancelled by caller")
        elif job.close_done():
            # The election before stored the last end, not the job's.
            self._end_job(job, model.JobState.COMPLETED, "all tasks done")

    def _store(self, job: jobs.Job) -> None:
        self._journal.mark(
            records.progress_place(job.job_id),
            lambda: records.encode(job.encode()),
        )

    def _end_job(self, job: jobs.Job, state: model.JobState, why: str) -> None:
        job.state = state
        job.ended_s = time_source.now_s()
        measures.COMPLETION_S.labels(job.queue.priority, state.value).observe(
            job.ended_s - job.seen_s
        )
        _log.info(
            "job_ended",
            job=job.job_id,
            state=state.value,
            took_s=round(job.ended_s - job.seen_s, 3),
            cause=why,
        )
        for run in job.runs():
            self._stop(run, why)
        self._store(job)

        def show(_: asyncio.Future[None]) -> None:
            job.is_stored = True

        self._journal.flushed().add_done_callback(show)

    # Workers.

    def on_registration(self, registration: model.Registration) -> None:
        """Takes over the entry of a worker."""
        worker = self.workers.get(registration.worker_id)
        if worker is None:
            worker = fleet.Worker(registration, time_source.now_s())
            _log.info(
                "worker_joined",
                worker=worker.worker_id,
                address=registration.address,
            )
            self._add_worker(worker)
            self._store_roster()
            return
        if registration.is_draining and not worker.registration.is_draining:
            _log.info("worker_draining", worker=worker.worker_id)
        worker.registration = registration
        worker.is_listed = True
        self._wake()

    def on_unlisted(self, worker_id: str) -> None:
        """Gives a worker no new runs whose entry was removed."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            _log.info("worker_unregistered", worker=worker_id)
            worker.is_listed = False

    def _add_worker(self, worker: fleet.Worker) -> None:
        self.workers.add(worker)
        session = worker_session.WorkerSession(self, worker, self._port)
        self._sessions[worker.worker_id] = session
        self._spawn(session.run())

    def _store_roster(self) -> None:
        self._journal.mark(
            records.ROSTER,
            lambda: records.encode_roster(
                [worker.registration for worker in self.workers.values()]
            ),
        )
        members = self.workers.values()

        def note(_: asyncio.Future[None]) -> None:
            for worker in members:
                worker.is_rostered = True
            self._wake()

        self._journal.flushed().add_done_callback(note)

    def on_silent(self, worker: fleet.Worker, why: str) -> None:
        """Stops giving runs to a worker that does not answer."""
        if worker.contact is not fleet.Contact.SILENT:
            _log.warning("worker_lost", worker=worker.worker_id, cause=why)
            worker.contact = fleet.Contact.SILENT

    def on_gone(self, worker: fleet.Worker, why: str) -> None:
        """Gives up the runs of a worker that has certainly ended."""
        _log.warning(
            "worker_gone",
            worker=worker.worker_id,
            runs=len(worker.runs),
            cause=why,
        )
        worker.contact = fleet.Contact.GONE
        self.workers.remove(worker)
        self._sessions.pop(worker.worker_id, None)
        self._unresolved.discard(worker.worker_id)
        for run in list(worker.runs.values()):
            self._end_run(run, model.HowEnded.LAPSED, "", "worker is gone")
        self._store_roster()
        self._wake()

    def on_fenced(self) -> None:
        """Records that a worker obeys another instance."""
        self._deposed.set()

    def on_listing(
        self,
        worker: fleet.Worker,
        listing: model.WorkerListing,
        sent_s: float,
    ) -> None:
        """Takes over what a worker listed."""
        now = time_source.now_s()
        if listing.born_ms != worker.born_ms:
            worker.begin_life(listing.born_ms)
        worker.observe_clock(listing.clock_ms, now)
        if worker.contact is not fleet.Contact.ANSWERING:
            _log.info("worker_answers", worker=worker.worker_id)
            worker.contact = fleet.Contact.ANSWERING
        listed = {ended.name for ended in listing.ended}
        for ended in listing.ended:
            if ended.number > worker.handled_number:
                worker.handled_number = ended.number
                self._on_ended(worker, ended)
        for active in listing.running:
            listed.add(active.name)
            self._on_active(worker, active, now)
        for run in list(worker.runs.values()):
            # A start that was confirmed before this listing was asked for is
            # in the listing unless the worker lost the run.
            if run.answered_s < sent_s and run.name not in listed:
                self._end_run(run, model.HowEnded.LAPSED, "", "not listed")
        self._account(worker, {active.name for active in listing.running})
        self._unresolved.discard(worker.worker_id)
        self._wake()

    def _account(
        self, worker: fleet.Worker, running: set[model.RunName]
    ) -> None:
        """Forgets unknown runs that have ended or are known now."""
        for name in list(worker.unaccounted):
            if name not in running or name in worker.runs:
                del worker.unaccounted[name]
                self._orphans.discard(name)

    def _on_active(
        self, worker: fleet.Worker, active: model.ActiveRun, now: float
    ) -> None:
        run = worker.runs.get(active.name)
        if run is None:
            run = self._adopt(worker, active, now)
        if run is None:
            return
        if run.state is jobs.RunState.STARTING:
            run.answered_s = now
            self.on_started(run)
        if active.percent != run.percent:
            run.percent = active.percent
            run.progressed_s = now
        elif now - run.progressed_s > _STUCK_S:
            self._on_stuck(run, now)
        if active.saved:
            run.step.keep_saved(run.name.task.position, active.saved)

    def _on_stuck(self, run: jobs.Run, now: float) -> None:
        """Moves a run that makes no progress to another worker."""
        if (
            run.state is not jobs.RunState.RUNNING
            or run.percent >= _COMPLETE_PERCENT
            or run.step.spec.is_long_running
        ):
            return
        worker = run.worker
        worker.avoid_until_s = max(worker.avoid_until_s, now + _STUCK_S)
        run.step.avoid.setdefault(run.name.task.position, set()).add(
            worker.worker_id
        )
        self._stop(run, "no progress")

    def _adopt(
        self, worker: fleet.Worker, active: model.ActiveRun, now: float
    ) -> jobs.Run | None:
        """Takes over a run of an earlier election."""
        task = active.name.task
        job = self.jobs.get(task.job_id)
        step = job.step(task) if job is not None else None
        if job is None or step is None:
            self._on_unaccounted(worker, active.name, now)
            return None
        run = jobs.Run(active.name, step, worker, now)
        run.state = jobs.RunState.RUNNING
        run.answered_s = now
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
            self._stop(run, "nothing of it is needed any more")
            return run
        step.active[task.position] = run
        step.waiting.discard(task.position)
        job.has_begun = True
        job.state = model.JobState.RUNNING
        _log.info("run_adopted", run=str(active.name), worker=worker.worker_id)
        return run

    def _on_unaccounted(
        self, worker: fleet.Worker, name: model.RunName, now: float
    ) -> None:
        """Stops a run whose job stays unknown.

        The row of a job that was accepted during the election may arrive later
        than the listing of its run.
        """
        since = worker.unaccounted.setdefault(name, now)
        if now - since < _UNKNOWN_JOB_S or name in self._orphans:
            return
        self._orphans.add(name)
        _log.warning(
            "unknown_run_stopping", run=str(name), worker=worker.worker_id
        )
        self._spawn(self._order_stop(worker, name))

    async def _order_stop(
        self, worker: fleet.Worker, name: model.RunName
    ) -> None:
        try:
            await self._port.stop(worker.registration, name, self.fence, 1.0)
        except errors.MarigoldgapError as error:
            # The next listing shows the run again and repeats the order.
            _log.warning("stop_open", run=str(name), cause=str(error))
            self._orphans.discard(name)

    # Runs.

    def on_started(self, run: jobs.Run) -> None:
        """Records that a worker confirmed a start."""
        if run.state is not jobs.RunState.STARTING:
            return
        run.state = jobs.RunState.RUNNING
        job = run.step.job
        if not job.has_begun:
            job.has_begun = True
            measures.FIRST_START_S.labels(job.queue.priority).observe(
                time_source.now_s() - job.seen_s
            )
            _log.info(
                "job_began",
                job=job.job_id,
                waited_s=round(time_source.now_s() - job.seen_s, 3),
            )
        if job.state is model.JobState.QUEUED:
            job.state = model.JobState.RUNNING

    def on_doubtful(self, run: jobs.Run, outcome: model.StartOutcome) -> None:
        """Stops a run of which one order was refused and another is open."""
        if outcome is model.StartOutcome.NO_TICKET:
            run.step.tickets.pop(run.worker.worker_id, None)
        self._stop(run, f"refused as {outcome.value} after an open order")
        if run.step.spec.is_gang:
            self._stop_gang(run.step, f"a member is in doubt: {outcome.value}")

    def on_refused(self, run: jobs.Run, outcome: model.StartOutcome) -> None:
        """Records that a worker did not start a run and will not."""
        now = time_source.now_s()
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
        self._release(run)
        if step.spec.is_gang:
            step.not_before_s = max(step.not_before_s, now + _GANG_RETRY_S)
            self._stop_gang(step, f"a member was refused: {outcome.value}")
        self._wake()

    def _on_ended(self, worker: fleet.Worker, ended: model.EndedRun) -> None:
        run = worker.runs.get(ended.name)
        if run is not None:
            self._end_run(run, ended.how, ended.saved, "listed by its worker")
            return
        task = ended.name.task
        job = self.jobs.get(task.job_id)
        step = job.step(task) if job is not None else None
        if job is None or step is None or job.is_ended:
            return
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
        if ended.how is model.HowEnded.DONE:
            step.mark_done(task.position)
            other = step.active.get(task.position)
            if other is not None:
                self._stop(other, "another run is done")
        elif ended.how is model.HowEnded.FAILED:
            self._count_failure(step, ended.name)
        self._after_end(step)

    def _end_run(
        self, run: jobs.Run, how: model.HowEnded, saved: str, why: str
    ) -> None:
        """Frees a run that has ended and decides what follows."""
        now = time_source.now_s()
        step = run.step
        index = run.name.task.position
        measures.RUNS.labels(how.value).inc()
        _log.info(
            "run_ended",
            run=str(run.name),
            worker=run.worker.worker_id,
            how=how.value,
            took_s=round(now - run.started_s, 3),
            cause=why,
        )
        step.keep_saved(index, saved)
        self._release(run)
        if how is model.HowEnded.DONE:
            run.worker.record_done()
            self._times.record(step, now - run.started_s)
            step.mark_done(index)
            other = step.active.get(index)
            if other is not None:
                self._stop(other, "another run is done")
        elif how is model.HowEnded.FAILED:
            if run.worker.record_failure(step.job.job_id, now):
                _log.warning("worker_quarantined", worker=run.worker.worker_id)
            step.avoid.setdefault(index, set()).add(run.worker.worker_id)
            self._count_failure(step, run.name)
        if how is not model.HowEnded.DONE and step.spec.is_gang:
            self._stop_gang(step, f"a member ended: {how.value}")
        self._after_end(step)

    def _count_failure(
        self, step: jobs.StepProgress, name: model.RunName
    ) -> None:
        failures = step.record_failure(name)
        job = step.job
        if (
            failures >= job.queue.attempts
            and not step.spec.is_long_running
            and not job.is_ended
        ):
            self._end_job(
                job,
                model.JobState.FAILED,
                f"task {name.task.position} of step {step.number} failed "
                f"{failures} times",
            )

    def _after_end(self, step: jobs.StepProgress) -> None:
        job = step.job
        if not job.is_ended:
            if step.is_done and job.close_done():
                self._end_job(job, model.JobState.COMPLETED, "all tasks done")
            else:
                self._store(job)
        self._wake()

    def _release(self, run: jobs.Run) -> None:
        """Forgets a run that has certainly ended."""
        run.state = jobs.RunState.ENDED
        run.worker.remove(run)
        step = run.step
        index = run.name.task.position
        if step.active.get(index) is not run:
            return
        del step.active[index]
        if not step.is_task_done(index) and not step.job.is_ended:
            step.waiting.add(index)

    def _stop_gang(self, step: jobs.StepProgress, why: str) -> None:
        for member in list(step.active.values()):
            self._stop(member, why)

    def _stop(self, run: jobs.Run, why: str) -> None:
        if run.state in (jobs.RunState.STOPPING, jobs.RunState.ENDED):
            return
        run.state = jobs.RunState.STOPPING
        _log.info(
            "run_stopping",
            run=str(run.name),
            worker=run.worker.worker_id,
            cause=why,
        )
        session = self._sessions.get(run.worker.worker_id)
        if session is not None:
            self._spawn(session.stop(run))

    # Planning.

    def _wake(self) -> None:
        self._changed.set()

    async def _plan_repeatedly(self) -> None:
        while self._is_planning:
            try:
                await asyncio.wait_for(self._changed.wait(), _TICK_S)
            except TimeoutError:
                self._open_due()
            self._changed.clear()
            began_s = time_source.now_s()
            self._plan()
            took_s = time_source.now_s() - began_s
            await asyncio.sleep(max(_PLAN_PAUSE_S, _PLAN_REST * took_s))

    def _open_due(self) -> None:
        wall_ms = time_source.wall_ms()
        for job in self.jobs.values():
            if not job.is_ended and job.next_occurrence < job.occurrence_count:
                job.open_due(wall_ms)

    def _plan(self) -> None:
        configuration = self._configuration()
        if configuration is None:
            return
        now = time_source.now_s()
        steps = [
            step
            for job in self.jobs.values()
            if not job.is_ended and not (job.is_inherited and self._unresolved)
            for step in job.ready_steps()
        ]
        measures.WAITING_TASKS.set(sum(len(step.waiting) for step in steps))
        if not steps:
            return
        plan = self._planner.plan(
            steps, self._usage(), configuration.workspaces, now
        )
        numbers = {
            id(each.step): each.step.next_run(each.position)
            for each in plan.placements
            if each.step.spec.is_gang
        }
        for placement in plan.placements:
            number = numbers.get(id(placement.step))
            self._start(placement, number, now)
        for step, workers in plan.advice:
            self._desk.request(step, workers)

    def _usage(self) -> dict[str, list[int]]:
        usage: dict[str, list[int]] = {}
        for worker in self.workers.values():
            for run in worker.runs.values():
                used = usage.setdefault(
                    run.step.job.record.workspace, [0, 0, 0]
                )
                for part, amount in enumerate(run.step.spec.demand):
                    used[part] += amount
        return usage

    def _start(
        self, placement: planner.Placement, number: int | None, now: float
    ) -> None:
        step = placement.step
        index = placement.position
        if number is None:
            number = step.next_run(index)
        name = model.RunName(step.task(index), number)
        run = jobs.Run(name, step, placement.worker, now)
        step.last_run[index] = number
        step.active[index] = run
        step.waiting.discard(index)
        placement.worker.add(run)
        _log.info(
            "run_starting",
            run=str(name),
            worker=placement.worker.worker_id,
            free_after=placement.worker.free(),
        )
        session = self._sessions[placement.worker.worker_id]
        self._spawn(session.start(run, placement.ticket))

    # Tasks of this election.

    async def _run_journal(self) -> None:
        try:
            await self._journal.run()
        except journal.DeposedError as error:
            _log.warning("deposed", cause=str(error))
            self._deposed.set()

    async def _watch_store(self) -> None:
        """Offers the duty to others while the store does not serve it."""
        while True:
            await asyncio.sleep(_STORE_WATCH_S)
            now = time_source.now_s()
            refused = self._journal.refused_since_s
            waiting = self._journal.waiting_since_s
            is_away = (
                refused is not None and now - refused > _REFUSED_LIMIT_S
            ) or (waiting is not None and now - waiting > _SILENT_LIMIT_S)
            if is_away and await self._offer(self.fence):
                _log.warning("duty_handed_over")
                self._deposed.set()

    async def _beat(self) -> None:
        while True:
            self._beats += 1
            beat = records.encode({"epoch": self.fence, "beat": self._beats})
            self._journal.mark(records.BEAT, functools.partial(_same, beat))
            await asyncio.sleep(BEAT_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("task_failed", cause=task.exception())
            self._deposed.set()


def _same(content: bytes) -> bytes:
    return content
