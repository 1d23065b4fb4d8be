"""Starts gangs: reserves on all instances, then commits or releases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from marigoldgap import errors
from marigoldgap import identifiers
from marigoldgap import logs
from marigoldgap.coordination import allowance_manager
from marigoldgap.coordination import free_capacity
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_dispatch
from marigoldgap.coordination import job_queue
from marigoldgap.coordination import job_state
from marigoldgap.coordination import job_table
from marigoldgap.entries import job_messages
from marigoldgap.scheduling import gang_model
from marigoldgap.scheduling import gang_planner
from marigoldgap.scheduling import model

_log = logs.PartLogger("coordination")

# Lifetime of a reservation: long enough for several rounds of calls in a busy
# zone. A reservation expires after this time if its owner or the coordinator
# dies. Capacity is held for a waiting gang for the same time, and is then
# released for the same time.
RESERVATION_MS = 20_000
_CALL_TIMEOUT_MS = 2_000
_RETRY_DELAY_MS = 1_000


class _Reservation(NamedTuple):
    """Tasks of a gang that are reserved on one instance."""

    instance_id: str
    reservation_id: str
    tasks: tuple[model.TaskSpec, ...]


class GangDispatch:
    """Starts one gang at a time, so that reservations cannot deadlock.

    Args:
        term: The coordinator's term.
        peers: Links to the instances.
        table: Open jobs.
        queue: Waiting jobs in dispatch order.
        allowances: Grants the units that the tasks need.
        free: Free capacity of the instances.
        may_start: Whether the start mark of a job covers its tasks.
        fits_when_empty: Whether a gang fits into the empty zone and into the
            limit of its team, so that capacity can be held for it.
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
        may_start: Callable[[job_state.Job], bool],
        fits_when_empty: Callable[[job_state.Job], bool],
        now_ms: Callable[[], int],
    ) -> None:
        self._term = term
        self._peers = peers
        self._table = table
        self._queue = queue
        self._allowances = allowances
        self._free = free
        self._may_start = may_start
        self._fits_when_empty = fits_when_empty
        self._now_ms = now_ms
        self._planner = gang_planner.GangPlanner(RESERVATION_MS)
        # Holds units of a team's limit as the other planner holds capacity of a
        # service; a team takes the place of the service.
        self._unit_holds = gang_planner.GangPlanner(RESERVATION_MS)
        self._task: asyncio.Task[None] | None = None

    def tick(self) -> None:
        """Starts the next gang that fits, unless one is being started."""
        if self._task is not None and not self._task.done():
            return
        self._planner.expire(self._now_ms())
        for team in self._queue.teams:
            for job in self._queue.first(team):
                if self._is_ready(job) and self._try_start(job):
                    return

    def may_backfill(self, task: model.TaskSpec) -> bool:
        """Whether a task may use capacity or units held for a gang."""
        now_ms = self._now_ms()
        by_team = task._replace(service=task.team)
        return self._planner.may_backfill(
            task, now_ms
        ) and self._unit_holds.may_backfill(by_team, now_ms)

    def stop(self) -> None:
        """Cancels the start in progress; its reservations expire."""
        if self._task is not None:
            self._task.cancel()

    def _is_ready(self, job: job_state.Job) -> bool:
        """Whether a job is a gang that may start now."""
        if not job.spec.gang or job.active or job.decided_state:
            return False
        if job.not_before_ms > self._now_ms():
            return False
        return self._may_start(job)

    def _try_start(self, job: job_state.Job) -> bool:
        """Plans a gang; returns whether its start began."""
        job.not_before_ms = self._now_ms() + _RETRY_DELAY_MS
        job.restart_gang()
        team = job.spec.team
        if self._allowances.free_units(team) < job.spec.tasks:
            self._allowances.record_job_demand(team, job.spec.tasks)
            if self._fits_when_empty(job):
                by_team = _gang_of(job)._replace(service=team)
                self._unit_holds.hold(by_team, self._now_ms())
            return False
        gang = _gang_of(job)
        free = self._free.of_service(job.spec.service)
        plan = self._planner.begin(gang, free, self._now_ms())
        if plan is None:
            if self._fits_when_empty(job):
                self._planner.hold(gang, self._now_ms())
            return False
        self._task = asyncio.create_task(self._start(job, plan))
        return True

    async def _start(
        self, job: job_state.Job, plan: gang_model.GangPlan
    ) -> None:
        """Reserves for all tasks; commits only if every task fits."""
        reservations: list[_Reservation] = []
        ready = False
        try:
            await self._reserve_all(job, plan, reservations)
            ready = not job.decided_state and self._planner.commit(
                job.job_id, self._now_ms()
            )
        except Exception:
            _log.exception("Starting gang %s failed.", job.job_id)
        finally:
            self._planner.release(job.job_id)
            self._planner.forget(job.job_id)
        if ready:
            self._commit(job, reservations)
        else:
            self._release(reservations)

    async def _reserve_all(
        self,
        job: job_state.Job,
        plan: gang_model.GangPlan,
        reservations: list[_Reservation],
    ) -> None:
        """Reserves in rounds until all tasks fit or no capacity is left."""
        plans = [plan]
        while plans:
            begun = [
                self._begin_attempts(job, instance_id, count)
                for each in plans
                for instance_id, count in each.counts.items()
            ]
            reservations.extend(begun)
            kept = await asyncio.gather(*[self._reserve(s) for s in begun])
            plans = []
            free = self._free.of_service(job.spec.service)
            for reservation, kept_ids in zip(begun, kept, strict=True):
                next_plan = self._record(job, reservation, kept_ids, free)
                if next_plan is not None:
                    plans.append(next_plan)

    def _begin_attempts(
        self, job: job_state.Job, instance_id: str, count: int
    ) -> _Reservation:
        """Begins attempts and grants their units before the reservation."""
        tasks = [
            self._table.begin_attempt(job, instance_id, self._now_ms())
            for _ in range(count)
        ]
        grant = self._allowances.grant(job.spec.team, instance_id, count)
        if grant is not None:
            self._peers.send(instance_id, grant)
        reservation_id = identifiers.new_task_id(job.job_id)
        return _Reservation(instance_id, reservation_id, tuple(tasks))

    async def _reserve(self, reservation: _Reservation) -> frozenset[str]:
        """Reserves on one instance; returns the ids of the tasks that fit."""
        message = job_messages.ReserveGang(
            term=self._term,
            reservation_id=reservation.reservation_id,
            expires_in_ms=RESERVATION_MS,
            tasks=reservation.tasks,
        )
        try:
            answer = await self._peers.call(
                reservation.instance_id, message, _CALL_TIMEOUT_MS
            )
        except errors.MarigoldgapError:
            return frozenset()
        return frozenset(answer.task_ids)

    def _record(
        self,
        job: job_state.Job,
        reservation: _Reservation,
        kept_ids: frozenset[str],
        free: Mapping[str, model.Resources],
    ) -> gang_model.GangPlan | None:
        """Records an answer; returns a plan for the tasks that did not fit."""
        for task in reservation.tasks:
            if task.task_id not in kept_ids:
                self._table.mark_not_started(task.task_id)
        return self._planner.record_reserved(
            job.job_id,
            reservation.instance_id,
            len(kept_ids),
            free,
            self._now_ms(),
        )

    def _commit(
        self, job: job_state.Job, reservations: list[_Reservation]
    ) -> None:
        """Requests the start of all reserved tasks."""
        for reservation in reservations:
            tasks = tuple(
                task
                for task in reservation.tasks
                if self._table.attempt(task.task_id) is not None
            )
            message = job_messages.CommitGang(
                term=self._term,
                reservation_id=reservation.reservation_id,
                tasks=tasks,
                payloads=(job_dispatch.payload_of(job),),
            )
            if tasks:
                self._peers.send(reservation.instance_id, message)

    def _release(self, reservations: list[_Reservation]) -> None:
        """Releases all reservations and requeues the tasks."""
        for reservation in reservations:
            release = job_messages.ReleaseGang(
                self._term, reservation.reservation_id
            )
            self._peers.send(reservation.instance_id, release)
            for task in reservation.tasks:
                self._table.mark_not_started(task.task_id)


def _gang_of(job: job_state.Job) -> gang_model.Gang:
    """Converts a job to a gang for the planner."""
    spec = job.spec
    return gang_model.Gang(job.job_id, spec.service, spec.tasks, spec.resources)
