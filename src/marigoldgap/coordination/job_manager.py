"""Job management of the coordinator: loads, starts, stops and closes jobs."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import random

from marigoldgap import errors
from marigoldgap import identifiers
from marigoldgap import logs
from marigoldgap.coordination import allowance_manager
from marigoldgap.coordination import free_capacity
from marigoldgap.coordination import gang_dispatch
from marigoldgap.coordination import impossible_jobs
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_canceller
from marigoldgap.coordination import job_dispatch
from marigoldgap.coordination import job_groups
from marigoldgap.coordination import job_queue
from marigoldgap.coordination import job_reader
from marigoldgap.coordination import job_state
from marigoldgap.coordination import job_table
from marigoldgap.coordination import job_writer
from marigoldgap.coordination import model as jobs_model
from marigoldgap.coordination import start_marks
from marigoldgap.coordination import stop_requests
from marigoldgap.coordination import task_runner
from marigoldgap.coordination import team_usage
from marigoldgap.coordination import zone_view
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.scheduling import model
from marigoldgap.scheduling import retry_budget
from marigoldgap.settings import model as settings_model

_log = logs.PartLogger("coordination")

# Upper bound of the delay of an idempotent job after refusals.
_MAX_IDEMPOTENT_REFUSAL_DELAY_MS = 1_000
# Interval between recounts of the usage; starts are added in between.
_USAGE_REFRESH_MS = 1_000

# Bounds of the delay before a retry. The upper bound applies if the retry
# budget of the team is used up.
_MIN_RETRY_DELAY_MS = 500
_MAX_RETRY_DELAY_MS = 30_000
# Bounds of the delay after a refusal. An instance refuses a task if it has less
# free capacity than its heartbeat said.
_MIN_REFUSAL_DELAY_MS = 200
_MAX_REFUSAL_DELAY_MS = 5_000
_MAX_DOUBLINGS = 6


class JobManager:
    """Manages the jobs of the zone during one term.

    Args:
        settings: Settings of this instance.
        term: The coordinator's term.
        peers: Links to the instances.
        table_client: Reads job rows.
        committer: Writes job rows.
        config: Provides the shares of the teams and the retry rules.
        allowances: Grants units.
        zone: Workers of the zone.
        free: Free capacity of the instances.
        usage: Usage of the teams over all zones.
        now_ms: Monotonic clock.
        source: Random numbers for jitter.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        term: model.Term,
        peers: interfaces.Peers,
        table_client: interfaces.TableClient,
        committer: interfaces.GroupCommitter,
        config: interfaces.ConfigState,
        allowances: allowance_manager.AllowanceManager,
        zone: zone_view.ZoneView,
        free: free_capacity.FreeCapacity,
        usage: team_usage.TeamUsage,
        now_ms: Callable[[], int],
        source: random.Random,
    ) -> None:
        self._settings = settings
        self._term = term
        self._peers = peers
        self._table_client = table_client
        self._config = config
        self._allowances = allowances
        self._zone = zone
        self._free = free
        self._usage = usage
        self._now_ms = now_ms
        self._source = source
        self._jobs = job_table.JobTable(
            lambda: self._config.rules.retry.attempts, identifiers.new_token
        )
        self._groups = job_groups.JobGroups()
        self._queue = job_queue.JobQueue(self._jobs.jobs.get)
        self._stops = stop_requests.StopRequests(
            term, peers, zone, self._stopped, now_ms
        )
        self._writer = job_writer.JobWriter(
            settings, table_client, committer, self._closed, now_ms
        )
        self._canceller = job_canceller.JobCanceller(
            self._jobs, self._groups, self._writer
        )
        self._marks = start_marks.StartMarks(
            self._jobs.jobs.get, self._writer, allowances, free, now_ms
        )
        self._reader = job_reader.JobReader(
            settings.zone, table_client, self._add, self._finish_load, now_ms
        )
        self._dispatch = job_dispatch.JobDispatch(
            term,
            peers,
            self._jobs,
            self._queue,
            allowances,
            free,
            self._usage_of,
            self._count_started,
            self._marks.may_start,
            self._may_backfill,
            now_ms,
        )
        self._gangs = gang_dispatch.GangDispatch(
            term,
            peers,
            self._jobs,
            self._queue,
            allowances,
            free,
            self._marks.may_start,
            self._fits_when_empty,
            now_ms,
        )
        self._budget = retry_budget.RetryBudget(
            config.rules.retry, _MIN_RETRY_DELAY_MS, _MAX_RETRY_DELAY_MS
        )
        self._impossible = impossible_jobs.ImpossibleJobs(zone)
        self._ending: set[str] = set()
        self._closed_ids: list[str] = []
        self._loaded = False
        self._next_usage_refresh_ms = 0

    def free_total(self) -> model.Resources:
        """Returns the free capacity of the zone."""
        return self._free.total_free()

    def usage_fraction(self, team: str) -> float:
        """Returns a team's dominant usage as a fraction of the zone."""
        return self._usage.fraction(team)

    def start_loading(self) -> None:
        """Starts loading the jobs; called when the barrier is passed."""
        self._reader.request_scan()

    def tick(self, zone_known: bool) -> None:
        """Runs periodic work; call it several times a second.

        Args:
            zone_known: Whether the capacities of all listed workers were
                reported, so that a job can be found impossible.
        """
        self._reader.tick()
        if not self._loaded:
            return
        if zone_known:
            self._end_impossible()
        self._handle_changes()
        self._marks.lower_unused()
        self._free.refresh()
        self._gangs.tick()
        self._dispatch.run_round()
        self._dispatch.repeat_starts()
        self._stops.tick()
        self._broadcast_closed()

    def stop(self) -> None:
        """Cancels all work at the end of the term."""
        self._stops.stop()
        self._writer.stop()
        self._gangs.stop()
        self._reader.stop()

    def read_accepted(self, job_ids: Iterable[str]) -> None:
        """Reads the rows of new jobs."""
        self._reader.read(
            job_id for job_id in job_ids if job_id not in self._jobs.jobs
        )

    def status(self, job_id: str) -> jobs_model.JobStatus | None:
        """Returns the status of an open job."""
        job = self._jobs.jobs.get(job_id)
        return job.status() if job else None

    async def cancel(
        self, request: job_messages.JobsCancelled
    ) -> tuple[str, ...]:
        """Cancels jobs; see `JobCanceller.cancel`.

        Raises:
            errors.NotReadyError: The jobs are not loaded yet.
            errors.StoreUnavailableError: Some rows could not be written.
        """
        if not self._loaded:
            raise errors.NotReadyError("the jobs of the zone are being read")
        return await self._canceller.cancel(request)

    def check_possible(self, spec: jobs_model.JobSpec) -> None:
        """Rejects a job that this zone can never run.

        Raises:
            errors.ImpossibleJobError: A task is too large for every worker,
                or a gang is too large for the zone.
        """
        reason = self._impossible.reason(spec)
        if reason:
            raise errors.ImpossibleJobError(reason)

    def record_outcomes(self, outcomes: Iterable[messages.Outcome]) -> None:
        """Records the outcomes of ended tasks."""
        for outcome in outcomes:
            self._jobs.record_outcome(outcome, self._now_ms())
        if self._stops:
            self._stops.remove_ended(outcome.task_id for outcome in outcomes)

    def record_placing(
        self, instance_id: str, tasks: Iterable[model.RunningTask]
    ) -> None:
        """Records starts that are still in progress on an instance."""
        for task in tasks:
            self._jobs.record_placing(instance_id, task, self._now_ms())

    def reconcile_worker(
        self, worker_id: str, tasks: Iterable[model.RunningTask]
    ) -> None:
        """Records all tasks that a worker runs."""
        self._stops.add(
            self._jobs.reconcile_worker(worker_id, tasks, self._now_ms())
        )

    def clear_worker(self, worker_id: str) -> None:
        """Records that a worker no longer runs any of its earlier tasks."""
        self._jobs.clear_worker(worker_id)
        self._stops.clear_worker(worker_id)

    def instance_lost(self, instance_id: str) -> None:
        """Records that the starts on a lost instance have unknown results."""
        self._jobs.instance_lost(instance_id, self._now_ms())
        self._reader.request_scan()

    def instance_resumed(self, instance_id: str) -> None:
        """Records that an instance is back after a pause of its process."""
        self._jobs.instance_resumed(instance_id)

    def resolve_unknown(self) -> None:
        """Resolves unknown starts once everything that runs was reported."""
        self._jobs.resolve_unknown(self._now_ms())

    def record_placed(
        self, sender: str, outcomes: Iterable[job_messages.Placed]
    ) -> None:
        """Applies the results of task placements."""
        for placed in outcomes:
            attempt = self._jobs.attempt(placed.task_id)
            if attempt is None:
                continue
            if task_runner.is_refused(placed):
                self._refused(attempt)
            elif placed.worker_id:
                self._started(sender, placed)

    def _started(self, sender: str, placed: job_messages.Placed) -> None:
        """Records a start, unless the worker has a new owner by now."""
        attempt = self._jobs.attempt(placed.task_id)
        if attempt is None or attempt.state is job_state.TaskState.RUNNING:
            return
        owner = self._zone.owner(placed.worker_id)
        if owner is not None and owner != sender:
            # The new owner reported the worker's tasks without this one.
            self._jobs.mark_not_running(
                placed.task_id, "its worker has a new owner"
            )
            return
        self._jobs.jobs[attempt.job_id].refusals = 0
        self._jobs.record_placed(
            placed.task_id, placed.worker_id, self._now_ms()
        )

    def _refused(self, attempt: job_state.Attempt) -> None:
        """Requeues a refused task and delays its job."""
        self._jobs.mark_not_started(attempt.task_id)
        job = self._jobs.jobs.get(attempt.job_id)
        # All refusals of one round count as one.
        if job is not None and job.not_before_ms <= self._now_ms():
            job.refusals += 1
            job.not_before_ms = self._now_ms() + self._refusal_delay_ms(job)

    def _refusal_delay_ms(self, job: job_state.Job) -> int:
        """Returns a delay that grows with consecutive refusals.

        Non-idempotent jobs back off for longer, since each of their attempts
        costs two writes.
        """
        longest = _MAX_REFUSAL_DELAY_MS
        if job.spec.idempotent:
            longest = _MAX_IDEMPOTENT_REFUSAL_DELAY_MS
        delay_ms = _MIN_REFUSAL_DELAY_MS << min(
            job.refusals - 1, _MAX_DOUBLINGS
        )
        return int(self._source.uniform(0.5, 1) * min(delay_ms, longest))

    def _handle_changes(self) -> None:
        """Queues, stops or closes the jobs that changed or must end."""
        if self._now_ms() >= self._next_usage_refresh_ms:
            self._next_usage_refresh_ms = self._now_ms() + _USAGE_REFRESH_MS
            self._usage.refresh(self._jobs, self._zone.capacity())
        self._delay_failed()
        changed, self._jobs.changed = self._jobs.changed, set()
        for job_id in changed | self._ending:
            job = self._jobs.jobs.get(job_id)
            if job is None:
                self._ending.discard(job_id)
            elif job.is_complete:
                self._ending.add(job_id)
                self._writer.close(job)
            elif job.decided_state or job.is_partial_gang:
                self._ending.add(job_id)
                self._stops.add(self._jobs.stops_of(job))
            else:
                self._ending.discard(job_id)
                self._queue.push(job)
        redundant, self._jobs.redundant = self._jobs.redundant, []
        self._stops.add(redundant)

    def _delay_failed(self) -> None:
        """Delays jobs with failed tasks; the team's budget bounds retries."""
        self._budget.set_rule(self._config.rules.retry)
        failures, self._jobs.failures = self._jobs.failures, []
        for _, job_id in failures:
            job = self._jobs.jobs.get(job_id)
            if job is None:
                continue
            attempts = max(job.failures.values(), default=1)
            delay_ms = _MAX_RETRY_DELAY_MS
            if self._budget.take(job.spec.team, attempts):
                delay_ms = self._budget.delay_ms(attempts, self._source.random)
            job.not_before_ms = self._now_ms() + delay_ms

    def _stopped(self, task_id: str) -> None:
        """Records that a task is confirmed to have stopped."""
        self._jobs.mark_not_running(task_id, "stopped")

    def _closed(self, job: job_state.Job) -> None:
        """Removes a job whose row is closed."""
        self._reader.record_closed(job.job_id)
        self._groups.remove(job)
        self._jobs.close(job.job_id)
        self._ending.discard(job.job_id)
        self._closed_ids.append(job.job_id)

    def _broadcast_closed(self) -> None:
        """Tells the instances to drop the outcomes of closed jobs."""
        if not self._closed_ids:
            return
        closed_ids, self._closed_ids = self._closed_ids, []
        message = job_messages.JobsForgotten(self._term, tuple(closed_ids))
        self._peers.broadcast_zone(message)
        self._peers.send(self._settings.instance_id, message)

    def _usage_of(self, team: str) -> float:
        """Returns the usage of a team divided by its share."""
        rule = self._config.rules.teams.get(team)
        return self._usage.normalized(team, rule.share if rule else 0.0)

    def _count_started(self, job: job_state.Job) -> None:
        """Adds a started task to the usage of its team."""
        self._usage.add(job.spec.team, job.spec.resources, 1)
        if not job.failures:
            self._budget.first_attempt(job.spec.team)

    def _end_impossible(self) -> None:
        """Ends jobs that no worker of the zone can run any more."""
        for job, reason in self._impossible.find(
            self._jobs.jobs.values(), self._now_ms()
        ):
            job.decide_state(jobs_model.IMPOSSIBLE, reason)
            self._jobs.changed.add(job.job_id)

    def _may_backfill(self, task: model.TaskSpec) -> bool:
        """Whether a task may use capacity that is held for a gang."""
        return self._gangs.may_backfill(task)

    def _fits_when_empty(self, job: job_state.Job) -> bool:
        """Whether a gang could start in the empty zone within its limit."""
        rule = self._config.rules.teams.get(job.spec.team)
        if rule is None or rule.limit < job.spec.tasks:
            return False
        return not self._impossible.reason(job.spec)

    def _finish_load(self) -> None:
        """Records that all open jobs are loaded."""
        if not self._loaded:
            self._loaded = True
            self._stops.add(self._jobs.finish_load())

    def _add(self, job: job_state.Job) -> None:
        """Adds a job from its row unless it is known."""
        if job.job_id not in self._jobs.jobs:
            self._groups.add(job)
            self._jobs.add(job, self._now_ms())
