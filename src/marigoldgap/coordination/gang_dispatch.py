"""Starts gangs: reserve on all needed instances, then commit or release."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from marigoldgap import errors
from marigoldgap import identifiers
from marigoldgap import logs
from marigoldgap.coordination import allowance_keeper
from marigoldgap.coordination import free_capacity
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_dispatch
from marigoldgap.coordination import job_queue
from marigoldgap.coordination import job_state
from marigoldgap.coordination import job_table
from marigoldgap.entries import job_messages
from marigoldgap.scheduling import model

_log = logs.PartLogger("coordination")

# Long enough for a round of calls in a busy zone. A reservation whose owner
# or coordinator dies ends by itself after this time.
RESERVATION_MS = 5_000
_CALL_MS = 2_000
_RETRY_MS = 1_000


class _Share(NamedTuple):
    """The tasks of a gang that one instance is asked to keep room for."""

    instance_id: str
    tasks: tuple[model.TaskSpec, ...]


class GangDispatch:
    """Starts one gang at a time, so that reservations cannot deadlock.

    Args:
        term: The coordinator's term.
        peers: Links to the instances.
        table: Open jobs.
        queue: Waiting jobs in their order.
        keeper: Grants the units that the tasks need.
        free: Free capacity of the instances.
        may_start: Whether the row of a job allows to start its tasks.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        term: model.Term,
        peers: interfaces.Peers,
        table: job_table.JobTable,
        queue: job_queue.JobQueue,
        keeper: allowance_keeper.AllowanceKeeper,
        free: free_capacity.FreeCapacity,
        may_start: Callable[[job_state.Job], bool],
        now_ms: Callable[[], int],
    ) -> None:
        self._term = term
        self._peers = peers
        self._table = table
        self._queue = queue
        self._keeper = keeper
        self._free = free
        self._may_start = may_start
        self._now_ms = now_ms
        self._task: asyncio.Task[None] | None = None

    def tick(self) -> None:
        """Starts the next gang that fits, unless one is being started."""
        if self._task is not None and not self._task.done():
            return
        for team in self._queue.teams:
            for job in self._queue.first(team):
                if self._is_ready(job) and self._try(job):
                    return

    def stop(self) -> None:
        """Ends the start under way; reservations expire by themselves."""
        if self._task is not None:
            self._task.cancel()

    def _is_ready(self, job: job_state.Job) -> bool:
        """Whether all tasks of a gang wait."""
        if not job.spec.gang or job.active or job.verdict:
            return False
        if job.not_before_ms > self._now_ms():
            return False
        return self._may_start(job)

    def _try(self, job: job_state.Job) -> bool:
        """Plans a gang and starts the calls if it seems to fit."""
        job.restart_gang()
        counts = self._plan(job)
        if counts is None:
            return False
        job.not_before_ms = self._now_ms() + _RETRY_MS
        self._task = asyncio.create_task(self._start(job, counts))
        return True

    def _plan(self, job: job_state.Job) -> dict[str, int] | None:
        """Returns how many tasks each instance gets, the roomiest first."""
        room = self._free.room(job.spec.service, job.spec.resources)
        missing = len(job.waiting)
        counts: dict[str, int] = {}
        by_room = sorted(room.items(), key=lambda item: (-item[1], item[0]))
        for instance_id, copies in by_room:
            if missing and copies:
                counts[instance_id] = min(copies, missing)
                missing -= counts[instance_id]
        return None if missing else counts

    async def _start(self, job: job_state.Job, counts: dict[str, int]) -> None:
        """Reserves, and commits only if every task found room and a unit."""
        reservation_id = identifiers.new_task_id(job.job_id)
        shares = self._begin(job, counts)
        complete = False
        try:
            if self._grant_units(job, counts):
                complete = await self._reserve_all(reservation_id, shares)
            if complete and not job.verdict:
                self._commit(job, reservation_id, shares)
                return
        except Exception:
            _log.exception("Starting gang %s failed.", job.job_id)
        self._give_up(reservation_id, shares)

    def _begin(
        self, job: job_state.Job, counts: dict[str, int]
    ) -> list[_Share]:
        """Takes the waiting tasks; nothing runs before the commit."""
        shares = []
        for instance_id, count in counts.items():
            tasks = [
                self._table.begin_attempt(job, instance_id, self._now_ms())
                for _ in range(count)
            ]
            shares.append(_Share(instance_id, tuple(tasks)))
        return shares

    def _grant_units(self, job: job_state.Job, counts: dict[str, int]) -> bool:
        """Grants the units of the whole gang, or reports the demand."""
        team = job.spec.team
        if self._keeper.free_units(team) < job.spec.tasks:
            self._keeper.want(team, job.spec.tasks)
            return False
        for instance_id, count in counts.items():
            grant = self._keeper.grant(team, instance_id, count)
            if grant is not None:
                self._peers.send(instance_id, grant)
        return True

    async def _reserve_all(
        self, reservation_id: str, shares: list[_Share]
    ) -> bool:
        """Reserves on all instances; returns whether every task has room."""
        calls = [self._reserve(reservation_id, share) for share in shares]
        return all(await asyncio.gather(*calls))

    async def _reserve(self, reservation_id: str, share: _Share) -> bool:
        """Reserves on one instance."""
        message = job_messages.ReserveGang(
            term=self._term,
            reservation_id=reservation_id,
            expires_in_ms=RESERVATION_MS,
            tasks=share.tasks,
        )
        try:
            answer = await self._peers.call(
                share.instance_id, message, _CALL_MS
            )
        except errors.MarigoldgapError:
            return False
        return len(answer.task_ids) == len(share.tasks)

    def _commit(
        self, job: job_state.Job, reservation_id: str, shares: list[_Share]
    ) -> None:
        """Lets all instances start their tasks."""
        for share in shares:
            message = job_messages.CommitGang(
                term=self._term,
                reservation_id=reservation_id,
                tasks=share.tasks,
                payloads=(job_dispatch.payload_of(job),),
            )
            if not self._peers.send(share.instance_id, message):
                _log.warning(
                    "Gang %s: no link to %s.", job.job_id, share.instance_id
                )

    def _give_up(self, reservation_id: str, shares: list[_Share]) -> None:
        """Releases all reservations; the tasks wait again."""
        release = job_messages.ReleaseGang(self._term, reservation_id)
        for share in shares:
            self._peers.send(share.instance_id, release)
            for task in share.tasks:
                self._table.not_started(task.task_id)
