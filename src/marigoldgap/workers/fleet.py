"""Manages the workers that this instance owns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from marigoldgap import errors
from marigoldgap import http_client
from marigoldgap import logs
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model
from marigoldgap.workers import link as worker_link
from marigoldgap.workers import model as workers_model

_logger = logs.PartLogger("workers")

# Delay before a link that ended with an unexpected exception is reopened.
_REOPEN_DELAY_S = 1.0

StartObserver = Callable[[str, model.TaskSpec], None]


def _ignore_start(worker_id: str, task: model.TaskSpec) -> None:
    """Does nothing."""
    del worker_id, task


class WorkerFleet:
    """Runs one asyncio task for each worker that this instance should own.

    Args:
        settings: The settings.
        listener: Receives the reports of the workers.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        listener: workers_model.FleetListener,
    ) -> None:
        self._settings = settings
        self._listener = listener
        self._candidates: dict[str, model.WorkerInfo] = {}
        self._links: dict[str, worker_link.WorkerLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._generation = 0
        self._releasing = False
        self._start_observer: StartObserver = _ignore_start
        self._changed = asyncio.Event()
        self.control_traffic = http_client.HttpTraffic()

    @property
    def generation(self) -> int:
        """Number that grows whenever a worker is acquired or lost."""
        return self._generation

    def on_start(self, observer: StartObserver) -> None:
        """Sets the callback that runs before each start is sent."""
        self._start_observer = observer

    def owned(self) -> tuple[workers_model.OwnedWorker, ...]:
        """Returns the workers whose lease is held and valid."""
        owned = (link.owned for link in self._links.values())
        return tuple(worker for worker in owned if worker is not None)

    def epoch_of(self, worker_id: str) -> int:
        """Returns the epoch of the lease on a worker, or 0 without one."""
        link = self._links.get(worker_id)
        owned = link.owned if link is not None else None
        return owned.epoch if owned is not None else 0

    def set_candidates(self, workers: Sequence[model.WorkerInfo]) -> None:
        """Sets the workers that this instance should own.

        Owned workers that are not among them get no new work. They are
        released once no answer is outstanding, at the latest after the TTL of
        a lease.
        """
        if self._releasing:
            return
        self._candidates = {worker.worker_id: worker for worker in workers}
        for worker_id, link in self._links.items():
            candidate = self._candidates.get(worker_id)
            if candidate is None or candidate.address != link.worker.address:
                link.hand_over(self._settings.lease.ttl_ms)
            elif candidate.leaving:
                link.mark_leaving()
        self._changed.set()

    async def run_request(
        self, worker_id: str, task: model.TaskSpec, payload: bytes
    ) -> workers_model.WorkerAnswer:
        """Runs a request on an owned worker and returns its whole answer.

        Raises:
            LeaseLostError: The worker is not owned; nothing was sent.
            ConnectFailedError: The worker cannot be reached; nothing was sent.
            WorkerRefusedError: The worker refused; the task did not run.
            OutcomeUnknownError: The task may have run.
        """
        link = self._link(worker_id)
        self._start_observer(worker_id, task)
        return await link.run_request(task, payload)

    async def start_job_task(
        self, worker_id: str, task: model.TaskSpec, payload: bytes
    ) -> None:
        """Starts a job task; raises the errors of `run_request`."""
        link = self._link(worker_id)
        self._start_observer(worker_id, task)
        await link.start_job_task(task, payload)

    async def stop_task(
        self, worker_id: str, task_id: str, action: str = "stop"
    ) -> str:
        """Stops, checkpoints or throttles a task.

        Args:
            worker_id: The worker.
            task_id: The task.
            action: `stop`, `checkpoint` or `throttle`.

        Returns:
            The task's state afterwards, e.g. `stopped` or `never-started`.

        Raises:
            LeaseLostError: The worker is not owned.
            ConnectFailedError: The worker cannot be reached.
            WorkerRefusedError: The worker refused the action.
            OutcomeUnknownError: The answer was lost.
            ProtocolError: The answer is malformed.
        """
        return await self._link(worker_id).apply_action(task_id, action)

    def request_inventory(self, worker_id: str) -> None:
        """Requests the running tasks of an owned worker.

        The listener gets them by another call of `worker_acquired`.
        """
        link = self._links.get(worker_id)
        if link is not None:
            link.request_inventory()

    async def run(self) -> None:
        """Opens and closes links as the candidates change; never returns."""
        try:
            while True:
                await self._changed.wait()
                self._changed.clear()
                self._open_missing()
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def release(self) -> None:
        """Hands over all workers; returns when every lease is released.

        Outstanding answers delay this by at most `drain_timeout_ms`.
        """
        self._releasing = True
        self._candidates = {}
        for link in self._links.values():
            link.hand_over(self._settings.drain_timeout_ms)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _link(self, worker_id: str) -> worker_link.WorkerLink:
        link = self._links.get(worker_id)
        if link is None:
            raise errors.LeaseLostError(f"worker {worker_id} is not owned")
        return link

    def _open_missing(self) -> None:
        for worker_id, worker in self._candidates.items():
            if worker_id not in self._links:
                self._open(worker)

    def _open(self, worker: model.WorkerInfo) -> None:
        link = worker_link.WorkerLink(
            self._settings,
            worker,
            self._listener,
            self._ownership_changed,
            self.control_traffic,
        )
        self._links[worker.worker_id] = link
        if worker.leaving:
            link.mark_leaving()
        task = asyncio.create_task(self._run_link(worker.worker_id, link))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_link(
        self, worker_id: str, link: worker_link.WorkerLink
    ) -> None:
        try:
            await link.run()
        except Exception:
            _logger.exception(
                "the link to worker %s ended with an unexpected error",
                worker_id,
            )
            await asyncio.sleep(_REOPEN_DELAY_S)
        finally:
            del self._links[worker_id]
            self._changed.set()

    def _ownership_changed(self) -> None:
        self._generation += 1
