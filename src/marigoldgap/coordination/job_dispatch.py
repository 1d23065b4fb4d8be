"""Selects waiting tasks and requests their start on instances."""

from __future__ import annotations

from collections.abc import Callable
import heapq
from typing import NamedTuple

from marigoldgap.coordination import allowance_manager
from marigoldgap.coordination import free_capacity
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_queue
from marigoldgap.coordination import job_state
from marigoldgap.coordination import job_table
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.scheduling import model

# Limit of tasks started in one round, to keep rounds short; there are several
# rounds a second.
_MAX_STARTS_PER_ROUND = 1_024
_BATCH_TASKS = 256
# A start without a result is requested again after this time. Instances start
# each attempt at most once.
_REPEAT_AFTER_MS = 3_000
_REPEAT_CHECK_INTERVAL_MS = 1_000


class _Batch(NamedTuple):
    """Tasks for one instance in this round, and payloads by job id."""

    tasks: list[model.TaskSpec]
    payloads: dict[str, job_messages.Payload]


class JobDispatch:
    """Fair dispatch of the tasks of jobs that are not gangs, in batches.

    Args:
        term: The coordinator's term.
        peers: Links to the instances.
        table: Open jobs.
        queue: Waiting jobs in dispatch order.
        allowances: Grants the units that the tasks need.
        free: Free capacity of the instances.
        usage: Returns the usage of a team divided by its share.
        note_started: Adds a started task to the usage.
        may_start: Whether the start mark of a job covers its next task.
        may_backfill: Whether a task may use capacity held for a gang.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        term: model.Term,
        peers: interfaces.Peers,
        table: job_table.JobTable,
        queue: job_queue.JobQueue,
        allowances: allowance_manager.AllowanceManager,
        free: free_capacity.FreeCapacity,
        usage: Callable[[str], float],
        note_started: Callable[[job_state.Job], None],
        may_start: Callable[[job_state.Job], bool],
        may_backfill: Callable[[model.TaskSpec], bool],
        now_ms: Callable[[], int],
    ) -> None:
        self._term = term
        self._peers = peers
        self._table = table
        self._queue = queue
        self._allowances = allowances
        self._free = free
        self._usage = usage
        self._note_started = note_started
        self._may_start = may_start
        self._may_backfill = may_backfill
        self._now_ms = now_ms
        self._next_repeat_check_ms = 0
        self._batches: dict[str, _Batch] = {}
        self._grants: dict[tuple[str, str], messages.HoldingGrant] = {}

    def run_round(self) -> int:
        """Starts the tasks that fit; returns their number."""
        teams = [(self._usage(team), team) for team in self._queue.teams]
        heapq.heapify(teams)
        started = 0
        while teams and started < _MAX_STARTS_PER_ROUND:
            _, team = heapq.heappop(teams)
            if self._start_next(team):
                started += 1
                heapq.heappush(teams, (self._usage(team), team))
        self._send()
        return started

    def repeat_starts(self) -> None:
        """Requests starts again that have had no result for some time."""
        now_ms = self._now_ms()
        if now_ms < self._next_repeat_check_ms:
            return
        self._next_repeat_check_ms = now_ms + _REPEAT_CHECK_INTERVAL_MS
        for attempt in list(self._table.attempts):
            placing = attempt.state is job_state.TaskState.PLACING
            if not placing or now_ms - attempt.since_ms < _REPEAT_AFTER_MS:
                continue
            self._table.record_repeat(attempt.task_id, now_ms)
            job = self._table.jobs[attempt.job_id]
            task = job.task_spec(attempt.task_id, attempt.task_index)
            self._add_to_batch(attempt.location, job, task)
        self._send()

    def _start_next(self, team: str) -> bool:
        """Starts one task of a team; returns whether one was started."""
        now_ms = self._now_ms()
        for job in self._queue.first(team):
            if job.spec.gang or job.not_before_ms > now_ms:
                continue
            if not self._may_start(job):
                continue
            if not self._may_backfill(job.task_spec("", job.waiting[0])):
                continue
            if self._start(job):
                return True
        return False

    def _start(self, job: job_state.Job) -> bool:
        """Starts the next task of a job if capacity and a unit are free."""
        spec = job.spec
        instance_id = self._free.choose_instance(spec.service, spec.resources)
        if instance_id is None:
            return False
        grant = self._allowances.grant(spec.team, instance_id, 1)
        if grant is None:
            self._allowances.record_job_demand(
                spec.team, self._queue.waiting_tasks(spec.team)
            )
            return False
        self._grants[(instance_id, spec.team)] = grant
        self._free.subtract_task(instance_id, spec.service, spec.resources)
        task = self._table.begin_attempt(job, instance_id, self._now_ms())
        self._add_to_batch(instance_id, job, task)
        self._note_started(job)
        return True

    def _add_to_batch(
        self, instance_id: str, job: job_state.Job, task: model.TaskSpec
    ) -> None:
        """Adds a task to the batch of an instance."""
        batch = self._batches.setdefault(instance_id, _Batch([], {}))
        batch.tasks.append(task)
        batch.payloads[job.job_id] = payload_of(job)

    def _send(self) -> None:
        """Sends grants, then tasks, so that the units arrive first."""
        grants, self._grants = self._grants, {}
        for (instance_id, _), grant in grants.items():
            self._peers.send(instance_id, grant)
        batches, self._batches = self._batches, {}
        for instance_id, batch in batches.items():
            for start in range(0, len(batch.tasks), _BATCH_TASKS):
                self._place(instance_id, batch, start)

    def _place(self, instance_id: str, batch: _Batch, start: int) -> None:
        """Sends the part of a batch from `start` on with its payloads."""
        tasks = tuple(batch.tasks[start : start + _BATCH_TASKS])
        jobs = dict.fromkeys(task.job_id for task in tasks)
        message = job_messages.PlaceTasks(
            term=self._term,
            tasks=tasks,
            payloads=tuple(batch.payloads[job_id] for job_id in jobs),
        )
        self._peers.send(instance_id, message)


def payload_of(job: job_state.Job) -> job_messages.Payload:
    """Returns the message form of a job's payload."""
    return job_messages.Payload(job.job_id, job.spec.payload, job.reference)
