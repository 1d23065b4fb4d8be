"""Submission, state and cancellation of jobs, on any instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import cancellation
from marigoldgap.cell import configuration_currency
from marigoldgap.cell import configuration_follower
from marigoldgap.cell import deadlines
from marigoldgap.cell import election as elections
from marigoldgap.cell import job_view
from marigoldgap.cell import model
from marigoldgap.cell import peers
from marigoldgap.cell import records
from marigoldgap.cell import store
from marigoldgap.cell import stored_jobs
from marigoldgap.web import client

_log = decision_log.DecisionLogger("jobs")

# Time for which a submission that the store refused is retried: less than a
# quarter of the shortest latency objective (500 ms).
_REFUSED_RETRY_S = 0.1
# After this time without an answer from the store, jobs are refused without a
# call to it: longer than the shortest timeout of a call.
_OUTAGE_S = 0.7
# Time after which a refused caller may retry: about as long as an election.
_RETRY_AFTER_S = 1.0
# Share of the key withdrawal time after which unconfirmed keys are refused.
_KEY_AGE_SHARE = 0.7


class StoreUnreachableError(errors.OverloadedError):
    """The store is unreachable; the job was not accepted."""

    code = "store-away"


class ShuttingDownError(errors.OverloadedError):
    """The instance is about to end; the request was not carried out."""

    code = "shutting-down"


class RequestInterruptedError(errors.MarigoldgapError):
    """The instance ended before it had the answer; safe to repeat."""

    code = "interrupted"
    status = 503


class JobTooLargeError(errors.InvalidRequestError):
    """The record of the job does not fit into a row of the store."""

    code = "job-too-large"
    status = 413


class OutcomeUnknownError(errors.MarigoldgapError):
    """The store did not answer, so the job may or may not be stored."""

    code = "outcome-open"
    status = 504


def retry_after_s(error: errors.MarigoldgapError) -> float:
    """Returns the seconds after which a refused caller may retry.

    Other instances can serve the caller at once while this one shuts down.
    """
    if isinstance(error, ShuttingDownError | RequestInterruptedError):
        return 0.0
    return _RETRY_AFTER_S


class JobService:
    """Serves the requests of callers.

    Args:
        rows: The store.
        store_outage_s: Returns the seconds since the store's last answer; 0
            while it answers.
        configuration: Follows the configuration in force.
        election: Knows the leader.
        view: The leader's view of jobs, while this instance is the leader.
        pool: Connections to peers.
        withdrawal_s: Seconds within which a withdrawn key stops working; 0 if
            keys may be used without confirmation.
        configuration_apply_s: Seconds within which a change of the configuration
            must be in force.
    """

    def __init__(
        self,
        rows: store.Store,
        store_outage_s: Callable[[], float],
        configuration: configuration_follower.ConfigurationFollower,
        election: elections.Election,
        view: job_view.JobView,
        pool: client.HttpPool,
        withdrawal_s: float,
        configuration_apply_s: float,
    ) -> None:
        self._rows = rows
        self._stored = stored_jobs.StoredJobs(rows)
        self._cancellation = cancellation.Cancellation(
            rows, self._stored, self._notify
        )
        self._store_outage_s = store_outage_s
        self._configuration = configuration
        self._election = election
        self._view = view
        self._pool = pool
        self._withdrawal_s = withdrawal_s
        self._configuration_apply_s = configuration_apply_s
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_ready(self) -> bool:
        """Whether this instance can serve callers.

        One that the store does not answer can store no job, although another
        instance of its zone may still confirm the configuration.
        """
        return (
            self._configuration.current is not None
            and not self._may_be_superseded()
            and not self._is_unconfirmed()
            and not self._exceeds_key_age(self._store_outage_s())
        )

    @property
    def configuration_version(self) -> int:
        """Version of the configuration; 0 before the first one."""
        return self._configuration.version

    @property
    def configuration_age_s(self) -> float | None:
        """Seconds since the store last confirmed the configuration."""
        return self._configuration.logged_age_s

    def find_queue(self, host: str, path: str) -> model.Queue:
        """Returns the queue of a request.

        Raises:
            NotReadyError: No configuration has been loaded yet.
            ConfigurationUnconfirmedError: Another one may be in force.
            NotFoundError: No queue matches the host and path.
        """
        configuration = self._require_configuration()
        measures.CONFIGURATION_AGE_S.observe(self._configuration.age_s)
        queue = configuration.queue_for(host, path)
        if queue is None:
            raise errors.NotFoundError(f"no queue matches {host}{path}")
        return queue

    def check_key(self, queue: model.Queue, key: str | None) -> str:
        """Returns the workspace of a key; empty for an open queue.

        Raises:
            KeysUnconfirmedError: The store confirmed the keys too long ago.
            AuthenticationError: The key is unknown or withdrawn.
        """
        if queue.is_open:
            return ""
        if self._is_unconfirmed():
            raise errors.KeysUnconfirmedError(
                "keys were last confirmed"
                f" {self._configuration.age_s:.1f} s ago"
            )
        workspace = self._require_configuration().keys.get(key or "")
        if workspace is None:
            raise errors.AuthenticationError(
                "the API key is missing, unknown or withdrawn"
            )
        return workspace

    async def submit(self, record: model.JobRecord, deadline_s: float) -> None:
        """Stores a job; idempotent.

        Args:
            record: The job.
            deadline_s: Time for which the caller waits, in seconds: a duration,
                unlike the deadlines of jobs and steps.

        Raises:
            JobTooLargeError: The job is too large to be stored.
            JobCancelledError: The job was cancelled before it was stored.
            StoreUnreachableError: The job was not accepted and never runs.
            OutcomeUnknownError: The job may have been accepted.
        """
        # Its cancellation has to fit as well.
        size = len(records.encode_job(record._replace(is_cancelled=True)))
        if size > records.MAX_ROW_BYTES:
            raise JobTooLargeError(
                f"the record of the job has {size} bytes, more than"
                f" {records.MAX_ROW_BYTES}"
            )
        outage_s = self._store_outage_s()
        if outage_s > _OUTAGE_S:
            # Nothing is sent, so the job is certainly not stored. Other calls
            # detect when the store answers again.
            raise StoreUnreachableError(
                f"store has not answered for {outage_s:.1f} s"
            )
        wait_s = deadlines.submission_wait_s(deadline_s)
        storing = asyncio.create_task(self._store_job(record, outage_s, wait_s))
        self._tasks.add(storing)
        storing.add_done_callback(self._on_task_done)
        done, _ = await asyncio.wait({storing}, timeout=wait_s)
        if not done:
            # The write in flight may still store the job.
            raise OutcomeUnknownError(
                f"store did not answer within {wait_s:.1f} s"
            )
        storing.result()

    async def _store_job(
        self, record: model.JobRecord, outage_s: float, wait_s: float
    ) -> None:
        """Stores a job and notifies the leader.

        No write starts after `wait_s`: by then the caller has been told that
        the outcome is unknown, and another instance may refuse its retry.

        Raises:
            JobCancelledError: The job was cancelled before it was stored.
            StoreUnreachableError: The store refused; the job never runs.
            OutcomeUnknownError: The job may be stored.
        """
        row_key = records.job_row_key(record.job_id)
        content = records.encode_job(record)
        transaction = store.Transaction(
            (
                store.RowCheck(row_key, 0),
                store.RowCheck(records.ended_row_key(record.job_id), 0),
            ),
            ((row_key, content),),
        )
        started_s = clock.now_s()
        retry_refused_until_s = started_s + (
            0 if outage_s else _REFUSED_RETRY_S
        )
        may_be_stored = False
        while True:
            try:
                version = await self._rows.transact(transaction)
            except store.CheckFailedError as error:
                cancellation.check_not_cancelled(record.job_id, error.rows)
                _log.info("job_repeated", job=record.job_id)
                return
            except store.StoreUnknownError as error:
                may_be_stored = True
                cause = str(error)
            except store.StoreError as error:
                cause = str(error)
            else:
                took_s = clock.now_s() - started_s
                measures.ACCEPTANCE_S.observe(took_s)
                _log.info(
                    "job_accepted",
                    job=record.job_id,
                    workspace=record.workspace,
                    queue=record.queue.name,
                    took_s=round(took_s, 3),
                    configuration=self._configuration.version,
                    configuration_age_s=self._configuration.logged_age_s,
                )
                self._notify(record, version)
                return
            if not may_be_stored and clock.now_s() >= retry_refused_until_s:
                raise StoreUnreachableError(cause)
            if may_be_stored and clock.now_s() - started_s >= wait_s:
                raise OutcomeUnknownError(cause)
            await asyncio.sleep(deadlines.RETRY_PAUSE_S)

    async def state(self, job_id: str) -> model.JobState:
        """Returns the state of a job.

        Raises:
            JobGoneError: No such job exists.
            StoreError: The state is only in the store, and a read failed.
        """
        state = await self._leader_state(job_id)
        if state is not None:
            return state
        return await self._stored.state(job_id)

    async def cancel(self, job_id: str, deadline_s: float) -> None:
        """Cancels a job as `Cancellation.cancel` does, with its errors."""
        await self._cancellation.cancel(job_id, deadline_s)

    async def waiting(self, queue: model.Queue) -> int:
        """Returns the number of accepted jobs of a queue not yet started.

        Raises:
            MarigoldgapError: The leader is unknown or does not answer.
        """
        try:
            return self._view.waiting(queue.name)
        except job_view.NotLeaderError:
            return await self._leader_client().waiting(queue.name)

    async def _leader_state(self, job_id: str) -> model.JobState | None:
        try:
            return self._view.state(job_id)
        except job_view.NotLeaderError:
            pass
        try:
            return await self._leader_client().state(job_id)
        except errors.MarigoldgapError as error:
            _log.info("state_from_store", job=job_id, cause=str(error))
            self._election.poll_soon()
            return None

    def _notify(self, record: model.JobRecord, version: int) -> None:
        """Notifies the leader of a stored job, in the background."""
        try:
            self._view.add_stored(record, version)
        except job_view.NotLeaderError:
            task = asyncio.create_task(self._notify_leader(record, version))
            self._tasks.add(task)
            task.add_done_callback(self._on_task_done)

    async def _notify_leader(
        self, record: model.JobRecord, version: int
    ) -> None:
        try:
            await self._leader_client().add_stored(record, version)
        except errors.MarigoldgapError as error:
            # The leader also gets the job from the change feed of the table.
            _log.info(
                "leader_notification_failed",
                job=record.job_id,
                cause=str(error),
            )
            self._election.poll_soon()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.info("background_task_failed", cause=str(error))

    def _leader_client(self) -> peers.PeerClient:
        leader = self._election.leader
        if leader is None or not leader.address:
            raise job_view.NotLeaderError("no leader with an address is known")
        return peers.PeerClient(self._pool, leader.address, leader.instance)

    def _require_configuration(self) -> model.Configuration:
        if self._configuration.current is None:
            raise errors.NotReadyError("no configuration has been loaded yet")
        if self._may_be_superseded():
            raise errors.ConfigurationUnconfirmedError(
                "the configuration was last confirmed"
                f" {self._configuration.age_s:.1f} s ago"
            )
        return self._configuration.current

    def _may_be_superseded(self) -> bool:
        return configuration_currency.may_be_superseded(
            self._configuration.age_s,
            self._store_outage_s(),
            self._configuration_apply_s,
        )

    def _is_unconfirmed(self) -> bool:
        return self._exceeds_key_age(self._configuration.age_s)

    def _exceeds_key_age(self, seconds: float) -> bool:
        if not self._withdrawal_s:
            return False
        return seconds > _KEY_AGE_SHARE * self._withdrawal_s
