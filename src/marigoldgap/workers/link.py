"""Lease, polls and task starts of one worker."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import http_client
from marigoldgap import logs
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model
from marigoldgap.workers import client
from marigoldgap.workers import inventory_schedule
from marigoldgap.workers import lease
from marigoldgap.workers import model as workers_model
from marigoldgap.workers import report_relay
from marigoldgap.workers import wire

_logger = logs.PartLogger("workers")

_UNUSABLE_ANSWERS = (
    errors.ConnectFailedError,
    errors.OutcomeUnknownError,
    errors.ProtocolError,
)


class WorkerLink:
    """Holds the lease on one worker and sends it work.

    Only `run` changes the lease. It alternates between renewing the lease and
    polling for changes, so the answers of the worker are handled in order.

    Args:
        settings: The settings.
        worker: The worker.
        listener: Receives the reports of the worker.
        ownership_changed: Called when the lease is acquired or lost.
        traffic: Counts the bytes of lease requests, polls and stops.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        worker: model.WorkerInfo,
        listener: workers_model.FleetListener,
        ownership_changed: Callable[[], None],
        traffic: http_client.HttpTraffic | None = None,
    ) -> None:
        self._settings = settings
        self._worker = worker
        self._listener = listener
        self._ownership_changed = ownership_changed
        self._lease = lease.WorkerLease(settings.lease.margin_ms)
        self._client = client.WorkerClient(
            worker,
            settings.instance_id,
            settings.lease.renew_ms / clock.MILLISECONDS_PER_SECOND,
            traffic,
        )
        self._relay = report_relay.ReportRelay(worker.worker_id, listener)
        self._inventories = inventory_schedule.InventorySchedule(
            settings.lease.renew_ms
        )
        self._leaving = False
        self._unanswered = 0
        self._hand_over_by_ms: int | None = None
        self._wake = asyncio.Event()

    @property
    def worker(self) -> model.WorkerInfo:
        """The worker, with the capacity that it reported last."""
        return self._worker._replace(leaving=self._leaving)

    @property
    def owned(self) -> workers_model.OwnedWorker | None:
        """The worker and the epoch; None unless the lease is held and valid."""
        if not self._lease.held:
            return None
        if self._lease.has_lapsed(clock.monotonic_ms()):
            return None
        return workers_model.OwnedWorker(self.worker, self._lease.epoch)

    @property
    def is_handing_over(self) -> bool:
        """Whether the worker is being handed over to another instance."""
        return self._hand_over_by_ms is not None

    def mark_leaving(self) -> None:
        """Stops new starts because the backend server is leaving."""
        if self._leaving:
            return
        self._leaving = True
        _logger.info("worker %s is leaving", self._worker.worker_id)
        if self._lease.held:
            self._listener.worker_leaving(self._worker.worker_id)

    def request_inventory(self) -> None:
        """Requests a new inventory with one of the next renewals.

        The listener gets it by another call of `worker_acquired`.
        """
        self._inventories.request()

    def hand_over(self, limit_ms: int) -> None:
        """Stops new starts; `run` releases the lease and then returns.

        Args:
            limit_ms: Maximum time for which outstanding answers delay the
                release.
        """
        if self.is_handing_over:
            return
        self._hand_over_by_ms = clock.monotonic_ms() + limit_ms
        if self._lease.state == lease.HELD:
            self._lease.give_up()
            self._listener.worker_leaving(self._worker.worker_id)
        self._wake.set()

    async def run_request(
        self, task: model.TaskSpec, payload: bytes
    ) -> workers_model.WorkerAnswer:
        """Runs a request; raises the errors of `WorkerClient.run_request`."""
        permit = self._start_permit()
        check = functools.partial(self._check_permit, permit)
        with self._count_unanswered():
            return await self._client.run_request(task, payload, permit, check)

    async def start_job_task(
        self, task: model.TaskSpec, payload: bytes
    ) -> None:
        """Starts a job task; see `WorkerClient.run_request` for the errors."""
        permit = self._start_permit()
        check = functools.partial(self._check_permit, permit)
        with self._count_unanswered():
            await self._client.start_job_task(task, payload, permit, check)

    async def apply_action(self, task_id: str, action: str) -> str:
        """Stops, checkpoints or throttles a task and returns its state.

        Raises:
            LeaseLostError: The lease is not held; only the owner may act.
            MarigoldgapError: See `WorkerClient.apply_action`.
        """
        if not self._lease.held:
            raise errors.LeaseLostError(
                f"cannot {action} task {task_id}: the lease on worker "
                f"{self._worker.worker_id} is not held"
            )
        return await self._client.apply_action(
            task_id, action, self._lease.epoch
        )

    async def run(self) -> None:
        """Holds the lease until the worker has been handed over."""
        try:
            while not await self._complete_hand_over():
                await self._run_interval()
        finally:
            self._end_lease("the link was closed")
            self._lease.close()
            await self._client.close()

    async def _run_interval(self) -> None:
        self._wake.clear()
        until_ms = clock.monotonic_ms() + self._settings.lease.renew_ms
        if self._lease.held or not self.is_handing_over:
            await self._renew()
        if self._lease.has_lapsed(clock.monotonic_ms()):
            self._end_lease("the lease has lapsed")
        while not self._wake.is_set():
            wait_ms = until_ms - clock.monotonic_ms()
            if wait_ms <= 0:
                return
            await self._poll_or_sleep(wait_ms)

    async def _complete_hand_over(self) -> bool:
        """Completes a hand-over; returns whether it is complete.

        The lease is released once no answer is outstanding or the time limit
        has passed.
        """
        if self._hand_over_by_ms is None:
            return False
        if not self._lease.held:
            return True
        timed_out = clock.monotonic_ms() >= self._hand_over_by_ms
        if self._unanswered and not timed_out:
            return False
        await self._release()
        return True

    async def _release(self) -> None:
        epoch = self._lease.epoch
        self._end_lease("the lease was released")
        await self._send_release(epoch)

    async def _send_release(self, epoch: int) -> None:
        try:
            await self._client.release(epoch)
        except _UNUSABLE_ANSWERS as error:
            # The lease expires after its TTL anyway.
            _logger.warning(
                "the worker did not confirm the release of its lease: %s",
                error.detail,
            )

    async def _renew(self) -> None:
        t0_ms = clock.monotonic_ms()
        known_epoch = self._known_epoch(t0_ms)
        try:
            answer = await self._client.request_lease(
                self._settings.lease.ttl_ms, known_epoch, self._relay.seq
            )
        except errors.LeaseHeldError as error:
            self._end_lease(error.detail)
        except _UNUSABLE_ANSWERS as error:
            _logger.debug(
                "cannot renew the lease on the worker: %s", error.detail
            )
        else:
            await self._apply_lease_answer(answer, t0_ms)

    def _known_epoch(self, now_ms: int) -> int:
        """Returns the epoch of the lease, or 0 to request a new inventory."""
        if not self._lease.held:
            return 0
        if self.is_handing_over or not self._inventories.take_due(now_ms):
            return self._lease.epoch
        return 0

    async def _apply_lease_answer(
        self, answer: wire.LeaseAnswer, t0_ms: int
    ) -> None:
        """Applies a granted lease and forwards its reports to the listener."""
        is_known = self._relay.record_incarnation(answer.incarnation)
        is_new = not self._lease.held or answer.epoch != self._lease.epoch
        if is_new and answer.inventory is None:
            # Placing tasks is unsafe while the running ones are unknown. The
            # lease is released, as the next one then has a new epoch and an
            # inventory.
            self._end_lease("the worker granted a lease without an inventory")
            await self._send_release(answer.epoch)
            return
        self._lease.granted(answer, t0_ms, clock.monotonic_ms())
        if answer.leaving:
            self.mark_leaving()
        if is_new:
            await self._complete_acquisition(answer)
        if is_known:
            self._relay.forward_changes(answer.seq, answer.changes)
        self._relay.forward_usage(answer.usage)

    async def _complete_acquisition(self, answer: wire.LeaseAnswer) -> None:
        if answer.capacity is not None:
            self._worker = self._worker._replace(
                capacity=answer.capacity,
                service=answer.service or self._worker.service,
            )
        await self._client.limit_connections(self._worker.capacity.connections)
        _logger.info(
            "acquired worker %s with epoch %d",
            self._worker.worker_id,
            answer.epoch,
        )
        self._inventories.record_received(clock.monotonic_ms())
        self._ownership_changed()
        self._listener.worker_acquired(self.worker, answer.inventory or ())

    async def _poll_or_sleep(self, wait_ms: int) -> None:
        """Polls for changes, or sleeps while no lease is held."""
        if not self._lease.held:
            await self._sleep(wait_ms)
            return
        try:
            answer = await self._client.poll_changes(self._relay.seq, wait_ms)
        except _UNUSABLE_ANSWERS as error:
            _logger.debug(
                "cannot poll the changes of the worker: %s", error.detail
            )
            await self._sleep(wait_ms)
            return
        if self._relay.is_current(answer.incarnation):
            self._relay.forward_changes(answer.seq, answer.changes)
            return
        # The next renewal handles the restart, with a new inventory.
        self._wake.set()

    async def _sleep(self, wait_ms: int) -> None:
        try:
            async with asyncio.timeout(wait_ms / clock.MILLISECONDS_PER_SECOND):
                await self._wake.wait()
        except TimeoutError:
            pass

    def _end_lease(self, reason: str) -> None:
        if not self._lease.held:
            return
        worker_id = self._worker.worker_id
        self._lease.lose()
        _logger.info("lost worker %s: %s", worker_id, reason)
        self._ownership_changed()
        self._listener.worker_lost(worker_id)

    def _start_permit(self) -> lease.StartPermit:
        if self._leaving:
            raise errors.WorkerRefusedError(wire.STATE_LEAVING)
        return self._lease.permit(clock.monotonic_ms())

    def _check_permit(self, permit: lease.StartPermit) -> None:
        self._lease.check(permit, clock.monotonic_ms())

    @contextlib.contextmanager
    def _count_unanswered(self) -> Iterator[None]:
        """Counts outstanding answers, which delay a hand-over."""
        self._unanswered += 1
        try:
            yield
        finally:
            self._unanswered -= 1
            if self._unanswered == 0 and self.is_handing_over:
                self._wake.set()
