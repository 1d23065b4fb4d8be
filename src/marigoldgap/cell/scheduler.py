"""The scheduler of a leader: recovery, planning loop and heartbeat."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import json_object
from marigoldgap import measures
from marigoldgap.cell import advice_dispatcher
from marigoldgap.cell import advice_targets
from marigoldgap.cell import archive
from marigoldgap.cell import authority
from marigoldgap.cell import election as elections
from marigoldgap.cell import evacuation_log
from marigoldgap.cell import evacuations
from marigoldgap.cell import former_leader
from marigoldgap.cell import job_tracker
from marigoldgap.cell import journal
from marigoldgap.cell import leadership as leaderships
from marigoldgap.cell import model
from marigoldgap.cell import planner
from marigoldgap.cell import ports
from marigoldgap.cell import records
from marigoldgap.cell import recovery
from marigoldgap.cell import retention
from marigoldgap.cell import run_times
from marigoldgap.cell import runs
from marigoldgap.cell import step_progress
from marigoldgap.cell import store
from marigoldgap.cell import table_reader
from marigoldgap.cell import wait_log
from marigoldgap.cell import worker_tracker
from marigoldgap.cell import workspace_usage

_log = decision_log.DecisionLogger("scheduler")

# If the store refuses all calls for this long, leadership is offered to other
# instances. Calls without an answer do not count. If answers are lost, they are
# lost for all instances. If the store is silent for this instance only, the
# heartbeat stops, which the other instances detect about as soon.
_MAX_REFUSED_S = 0.3
# Interval between two checks of this condition.
_STORE_CHECK_S = 0.1
# Minimum pause between two plans.
_MIN_PLAN_PAUSE_S = 0.005
# Pause after a plan as a multiple of the time that it took, so that planning
# uses at most a third of the processor.
_PLAN_PAUSE_FACTOR = 2.0
# Time after a recovery for which runs of unknown jobs hold back the workspaces
# with limits: until silent workers have answered, at most after their leases
# have expired, and the runs were found to have no job and were stopped.
_MAX_UNCOUNTED_S = 10.0
# Maximum pause between two plans: no event requests a plan at the end of a
# retry pause or when an occurrence is due.
_MAX_PLAN_PAUSE_S = 0.1
# Interval between two writes of the learned run times, at most 32 KB each. A new
# leader learns what is lost between two of them again.
_TIMES_WRITE_S = 5.0


class Scheduler:
    """Schedules the cell during one leadership of this instance.

    Args:
        rows: The store.
        won: The election that this instance has won; its epoch is the fencing
            token of all commands.
        port: Sends commands to workers.
        proxies: Returns the proxies for calls to the advice service.
        configuration: Returns the configuration in force.
        is_outdated: Returns whether another configuration may be in force
            alone, or another evacuation.
        evacuated: The evacuated zones.
        offer: Offers the leadership of an epoch to other instances; returns
            whether one took it over.
        retention_s: Retention period of ended jobs, in seconds.
        store_refused_s: Returns for how many seconds the store has refused all
            calls.
        reader: Reads the tables.
    """

    def __init__(
        self,
        rows: store.Store,
        won: elections.ElectionWin,
        port: ports.WorkerPort,
        proxies: Callable[[], list[advice_dispatcher.AdviceProxy]],
        configuration: Callable[[], model.Configuration | None],
        is_outdated: Callable[[], bool],
        evacuated: evacuations.Evacuations,
        offer: Callable[[int], Awaitable[bool]],
        retention_s: float,
        store_refused_s: Callable[[], float],
        reader: table_reader.TableReader,
    ) -> None:
        # Set once the state has been restored from the store.
        self.recovered = asyncio.Event()
        # Version of the store as of which the jobs were read.
        self.jobs_version = 0
        self._recovered_s = float("inf")
        self._rows = rows
        self._configuration = configuration
        self._is_outdated = is_outdated
        self._evacuations = evacuated
        self._offer = offer
        self._store_refused_s = store_refused_s
        self._versions: dict[store.RowKey, int] = {}
        self._former = former_leader.FormerLeader(
            won.former, won.claimed_s, won.election_row.version
        )
        self.authority = authority.Authority(won.claimed_s)
        self.leadership = leaderships.Leadership(
            won.epoch,
            journal.Journal(
                rows, won.election_row, self._versions, self._on_confirmed
            ),
            self.authority,
        )
        self.times = times = run_times.RunTimes()
        self.job_tracker = job_tracker.JobTracker(
            self.leadership,
            configuration,
            self._versions,
            self._former,
            times,
        )
        self.worker_tracker = worker_tracker.WorkerTracker(
            self.leadership, port, self.job_tracker, times, self._former
        )
        self._usage = workspace_usage.WorkspaceUsage(
            self.worker_tracker, self.job_tracker, configuration
        )
        self.worker_tracker.exceeds_limit = self._usage.exceeds_limit
        self.worker_tracker.is_evacuated = self._is_evacuated
        self.worker_tracker.is_outdated = is_outdated
        self._planner = planner.Planner(self.worker_tracker.workers, times)
        self._archive = archive.Archive(rows, self.job_tracker)
        self._retention = retention.Retention(
            rows, reader, self.job_tracker, retention_s
        )
        self._recovery = recovery.Recovery(
            won.epoch,
            reader,
            self.job_tracker,
            self.worker_tracker,
            times,
            self._versions,
        )
        self._advice = advice_dispatcher.AdviceDispatcher(
            proxies, self._choose_advised, self.leadership.request_plan
        )
        current = configuration()
        if current is not None:
            self.worker_tracker.adopt_services(current.services)
        self._heartbeat_count = 0
        self._is_planning = True
        self._wait_log = wait_log.WaitLog()
        self._evacuation_log = evacuation_log.EvacuationLog()

    @property
    def is_recovered(self) -> bool:
        """Whether the state has been restored from the store."""
        return self.recovered.is_set()

    @property
    def is_obeyed(self) -> bool:
        """Whether all workers have accepted the fencing token."""
        return self.is_recovered and not self.worker_tracker.inherited

    async def run(self) -> None:
        """Recovers, then schedules until this leadership ends.

        Raises:
            LeadershipFailedError: A part without which it cannot lead failed.
            RecoveryStalledError: The state could not be read.
        """
        leadership = self.leadership
        leadership.spawn_essential("journal", self._run_journal())
        leadership.spawn_essential("heartbeat", self._send_heartbeats())
        leadership.spawn_essential("recovery", self._recover())
        leadership.spawn_contained("refusals", "", self._watch_store)
        await self._wait_until_recovered()
        leadership.spawn_essential("planning", self._plan_repeatedly())
        leadership.spawn_contained("wait_log", "", self._log_waits)
        leadership.spawn_contained("run_times", "", self._store_times)
        leadership.spawn_contained("evacuation_log", "", self._log_evacuations)
        leadership.spawn_contained("archive", "", self._archive.run)
        leadership.spawn_contained("retention", "", self._retention.run)
        await leadership.wait_until_ended()

    async def _recover(self) -> None:
        self.jobs_version = await self._recovery.run()
        self.worker_tracker.adopt_services(
            {job.queue.service for job in self.job_tracker.jobs.values()}
        )
        self._recovered_s = clock.now_s()
        self.recovered.set()

    async def _wait_until_recovered(self) -> None:
        while not (self.is_recovered or self.leadership.is_ended):
            if self._recovery.is_stalled:
                raise recovery.RecoveryStalledError(
                    f"nothing was read for {recovery.MAX_IDLE_S:g} s"
                )
            await asyncio.sleep(_STORE_CHECK_S)

    def add_stored(self, record: model.JobRecord, version: int) -> None:
        """Adds a job of which another instance sent a notification.

        A row that is not newer than the state that was restored and is not
        part of it has been archived: its notification was late.

        Args:
            record: The job.
            version: Version of its row; 0 if unknown.
        """
        is_known = record.job_id in self.job_tracker.jobs
        if version <= self.jobs_version and not is_known:
            _log.info(
                "late_notification_ignored",
                job=record.job_id,
                row_version=version,
                restored_version=self.jobs_version,
            )
            return
        self.add_job(record, version)

    def add_job(self, record: model.JobRecord, version: int) -> None:
        """Adds or updates a job, whose queue may be of a removed service.

        Args:
            record: The job.
            version: Version of its row; 0 if unknown.
        """
        self.job_tracker.add(record, version)
        self.worker_tracker.adopt_services((record.queue.service,))

    def adopt_configuration(self, configuration: model.Configuration) -> None:
        """Applies a new configuration to the jobs and workers."""
        self.job_tracker.adopt_configuration(configuration)
        self.worker_tracker.adopt_services(configuration.services)

    def end_leadership(self) -> None:
        """Ends the leadership of this instance."""
        self.leadership.end()

    def close(self) -> None:
        """Cancels all worker sessions, commands and background tasks."""
        self._is_planning = False
        self._advice.close()
        self._evacuation_log.close()
        self.worker_tracker.close()
        self.leadership.close()

    def stop_planning(self) -> None:
        """Starts no further runs; current runs continue."""
        self._is_planning = False
        self.authority.stop_starts()

    def _on_confirmed(self, sent_s: float, version: int) -> None:
        self.authority.confirm(sent_s)
        self._former.observe_version(sent_s, version)

    def flushed(self) -> asyncio.Future[None]:
        """Returns a future that is done when the current state is stored."""
        return self.leadership.journal.flushed()

    async def _plan_repeatedly(self) -> None:
        opened_s = 0.0
        while self._is_planning:
            try:
                async with asyncio.timeout(_MAX_PLAN_PAUSE_S):
                    await self.leadership.plan_requested.wait()
            except TimeoutError:
                pass
            self.leadership.plan_requested.clear()
            began_s = clock.now_s()
            if began_s - opened_s >= _MAX_PLAN_PAUSE_S:
                opened_s = began_s
                self.job_tracker.open_due()
            self._plan()
            took_s = clock.now_s() - began_s
            await asyncio.sleep(
                max(_MIN_PLAN_PAUSE_S, _PLAN_PAUSE_FACTOR * took_s)
            )

    def _plan(self) -> None:
        configuration = self._configuration()
        if (
            configuration is None
            or not self._is_planning
            or not self.authority.may_start()
        ):
            return
        now = clock.now_s()
        steps = self._startable_steps(configuration, now)
        measures.WAITING_TASKS.set(sum(len(step.waiting) for step in steps))
        if not steps:
            return
        usage = self._usage.current()
        plan = self._planner.plan(
            steps, usage, configuration.workspaces, now, self._evacuations.zones
        )
        workspace_usage.log_starts(plan, usage, configuration)
        gang_run_numbers = {
            id(each.step): each.step.next_run(each.position)
            for each in plan.placements
            if each.step.spec.is_gang
        }
        for placement in plan.placements:
            step, position = placement.step, placement.position
            number = gang_run_numbers.get(id(step)) or step.next_run(position)
            self.worker_tracker.start(
                model.RunName(step.task(position), number),
                step,
                placement.worker,
                placement.ticket,
            )
        for step, workers in plan.advice:
            self._advice.request(step, workers)

    def _is_evacuated(self, run: runs.Run) -> bool:
        return self._evacuations.withdraws(run, clock.now_s())

    def _choose_advised(
        self, step: step_progress.StepProgress, requested: list[str]
    ) -> list[str]:
        return advice_targets.choose(
            step,
            requested,
            self.worker_tracker.workers,
            clock.now_s(),
            self._evacuations.zones,
        )

    async def _store_times(self) -> None:
        """Stores the learned run times while they change."""
        while True:
            await asyncio.sleep(_TIMES_WRITE_S)
            if self.times.has_unstored:
                self.leadership.journal.schedule_write(
                    records.TIMES, self.times.encode
                )

    async def _log_waits(self) -> None:
        """Logs the steps that have been ready for long without a run."""
        while True:
            await asyncio.sleep(wait_log.INTERVAL_S)
            unknown_jobs = self._jobs_with_unknown_runs()
            self._wait_log.examine(
                [
                    (step, self._wait_reason(step, unknown_jobs))
                    for step in self.job_tracker.ready_steps(True)
                ],
                clock.now_s(),
            )

    async def _log_evacuations(self) -> None:
        """Logs what remains in the evacuated zones."""
        while True:
            self._evacuation_log.examine(
                self.worker_tracker.workers.values(),
                self._evacuations.zones,
                clock.now_s(),
            )
            await asyncio.sleep(evacuation_log.INTERVAL_S)

    def _wait_reason(
        self, step: step_progress.StepProgress, unknown_jobs: set[str]
    ) -> step_progress.WaitReason:
        if not self.authority.may_start():
            return step_progress.WaitReason.UNCONFIRMED
        if step.job.job_id in unknown_jobs:
            return step_progress.WaitReason.UNKNOWN_RUNS
        if step.job.is_inherited and self.worker_tracker.inherited:
            return step_progress.WaitReason.INHERITED
        return step.wait_reason

    def _jobs_with_unknown_runs(self) -> set[str]:
        """Returns the jobs of unknown runs, but not of odd names of runs."""
        return {
            name.task.job_id
            for worker in self.worker_tracker.workers.values()
            for name in (*worker.unknown_runs, *worker.pending_ends)
            if self.job_tracker.may_have_task(name.task)
        }

    def _startable_steps(
        self, configuration: model.Configuration, now: float
    ) -> list[step_progress.StepProgress]:
        """Returns the steps that may start without running a task twice.

        A worker may list a run before this instance receives the row of its
        job. The job then waits for the worker's next listing, which shows the
        task that runs. Workspaces with limits wait as well, since the run may
        belong to any of them. All wait while limits may have been lowered.
        """
        unknown_jobs = self._jobs_with_unknown_runs()
        limited: frozenset[str] = frozenset()
        if unknown_jobs and now - self._recovered_s < _MAX_UNCOUNTED_S:
            limited = configuration.limited_workspaces
        # A workspace without a limit may have got one.
        is_outdated = self._is_outdated()
        startable = []
        for step in self.job_tracker.ready_steps(
            not self.worker_tracker.inherited
        ):
            if is_outdated:
                step.wait_reason = step_progress.WaitReason.LIMIT_UNCONFIRMED
            elif step.job.record.workspace in limited:
                step.wait_reason = step_progress.WaitReason.UNCOUNTED_RUNS
            elif step.job.job_id not in unknown_jobs:
                startable.append(step)
        return startable

    async def _run_journal(self) -> None:
        try:
            await self.leadership.journal.run()
        except journal.LeadershipLostError as error:
            _log.warning("leadership_lost", cause=str(error))
            self.leadership.end()

    async def _watch_store(self) -> None:
        """Offers leadership to others while the store refuses calls."""
        while True:
            await asyncio.sleep(_STORE_CHECK_S)
            refused_s = self._store_refused_s()
            if refused_s > _MAX_REFUSED_S and await self._offer(
                self.leadership.epoch
            ):
                _log.warning(
                    "leadership_handed_over", refused_s=round(refused_s, 3)
                )
                self.leadership.end()

    async def _send_heartbeats(self) -> None:
        while True:
            self._heartbeat_count += 1
            heartbeat = json_object.encode(
                {"epoch": self.leadership.epoch, "beat": self._heartbeat_count}
            )
            self.leadership.journal.schedule_urgent_write(
                records.HEARTBEAT, functools.partial(_identity, heartbeat)
            )
            await asyncio.sleep(elections.HEARTBEAT_S)


def _identity(content: bytes) -> bytes:
    return content
