"""Stop requests for tasks, repeated until they are confirmed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from marigoldgap import errors
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_table
from marigoldgap.coordination import zone_view
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.scheduling import model

_RETRY_DELAY_MS = 500
_STOP_TIMEOUT_MS = 5_000
_BATCH_TASKS = 256
_ENDED_STATES = frozenset(
    {"stopped", "never-started", "finished", "checkpointed"}
)


class StopRequests:
    """Sends stop requests to the owners of the workers.

    Args:
        term: The coordinator's term.
        peers: Links to the owners.
        zone: Provides the owners of the workers.
        confirmed: Called with the task id when a task is certain to have
            ended.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        term: model.Term,
        peers: interfaces.Peers,
        zone: zone_view.ZoneView,
        confirmed: Callable[[str], None],
        now_ms: Callable[[], int],
    ) -> None:
        self._term = term
        self._peers = peers
        self._zone = zone
        self._confirmed = confirmed
        self._now_ms = now_ms
        self._due_at_ms: dict[job_table.StopRequest, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._due_at_ms)

    def add(self, requests: Iterable[job_table.StopRequest]) -> None:
        """Adds stop requests; requests that exist are kept."""
        for request in requests:
            self._due_at_ms.setdefault(request, 0)

    def clear_worker(self, worker_id: str) -> None:
        """Removes the requests for a worker that no longer runs the tasks."""
        for request in list(self._due_at_ms):
            if request.worker_id == worker_id:
                del self._due_at_ms[request]

    def remove_ended(self, task_ids: Iterable[str]) -> None:
        """Removes the requests for tasks that ended by themselves."""
        ended = set(task_ids)
        for request in list(self._due_at_ms):
            if request.task_id in ended:
                del self._due_at_ms[request]

    def tick(self) -> None:
        """Sends the requests that are due."""
        now_ms = self._now_ms()
        by_owner: dict[str, list[job_table.StopRequest]] = {}
        for request, due_at_ms in self._due_at_ms.items():
            owner = self._zone.owner(request.worker_id)
            if due_at_ms <= now_ms and owner is not None:
                by_owner.setdefault(owner, []).append(request)
        for owner, requests in by_owner.items():
            for start in range(0, len(requests), _BATCH_TASKS):
                self._send(owner, requests[start : start + _BATCH_TASKS])

    def stop(self) -> None:
        """Cancels all calls in flight."""
        for task in self._tasks:
            task.cancel()

    def _send(self, owner: str, requests: list[job_table.StopRequest]) -> None:
        """Starts one call to an owner."""
        retry_ms = self._now_ms() + _STOP_TIMEOUT_MS + _RETRY_DELAY_MS
        for request in requests:
            self._due_at_ms[request] = retry_ms
        task = asyncio.create_task(self._call(owner, requests))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(
        self, owner: str, requests: list[job_table.StopRequest]
    ) -> None:
        """Sends requests to an owner and handles the answered states."""
        message = job_messages.StopTasks(
            term=self._term,
            action="stop",
            tasks=tuple(
                job_messages.TaskAddress(request.worker_id, request.task_id)
                for request in requests
            ),
        )
        states: dict[str, messages.Outcome] = {}
        try:
            answer = await self._peers.call(owner, message, _STOP_TIMEOUT_MS)
            states = {each.task_id: each for each in answer.outcomes}
        except errors.MarigoldgapError:
            pass
        for request in requests:
            outcome = states.get(request.task_id)
            self._handle(request, outcome.state if outcome else "")

    def _handle(self, request: job_table.StopRequest, state: str) -> None:
        """Removes a request if its task ended, else schedules a retry."""
        if state in _ENDED_STATES:
            if self._due_at_ms.pop(request, None) is not None:
                self._confirmed(request.task_id)
        elif request in self._due_at_ms:
            self._due_at_ms[request] = self._now_ms() + _RETRY_DELAY_MS
