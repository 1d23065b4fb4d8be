"""Queue of requests that wait for capacity or for a unit of their team."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping

from marigoldgap import errors
from marigoldgap.dispatch import placement as dispatch_placement
from marigoldgap.dispatch import wait_estimate
from marigoldgap.scheduling import fair_queue
from marigoldgap.scheduling import model

# Expired requests are refused with at most this delay.
POLL_INTERVAL_S = 0.02
# Result of `RequestQueue.wait` if the wait ends because this instance stops.
HANDED_OVER = ""


class RequestQueue:
    """A bounded fair queue that holds requests until they are placed.

    Args:
        queue: Orders the waiting requests.
        placement: Places requests when capacity or units are freed.
        usage: Returns the usage of a team, which orders the queue.
        now_ms: Monotonic clock in milliseconds, the same as for the deadlines
            of tasks.
    """

    def __init__(
        self,
        queue: fair_queue.FairQueue,
        placement: dispatch_placement.Placement,
        usage: Callable[[str], float],
        now_ms: Callable[[], int],
    ) -> None:
        self._queue = queue
        self._placement = placement
        self._usage = usage
        self._now_ms = now_ms
        self._waiters: dict[str, asyncio.Future[str]] = {}
        self._by_queue: Counter[str] = Counter()
        self._by_team: Counter[str] = Counter()
        self._estimate = wait_estimate.WaitEstimate()
        self._not_empty = asyncio.Event()

    @property
    def is_empty(self) -> bool:
        """Whether no request waits, so that a new one overtakes none."""
        return not self._queue

    @property
    def by_queue(self) -> Mapping[str, int]:
        """Number of waiting requests by queue."""
        return {name: count for name, count in self._by_queue.items() if count}

    def waiting_of(self, team: str) -> int:
        """Returns the number of waiting requests of a team."""
        return self._by_team[team]

    def expected_wait_ms(self, task: model.TaskSpec) -> float | None:
        """Returns the expected wait of a new request, or None if unknown.

        Teams take turns in the queue, so the wait of a team with few waiting
        requests does not grow with the many requests of another team.
        """
        waiting = self._by_team[task.team]
        teams = len(self._by_team) + (waiting == 0)
        turns = (waiting + 1) * teams
        ahead = min(len(self._queue) + 1, turns)
        return self._estimate.wait_ms(task.service, ahead)

    async def wait(self, task: model.TaskSpec) -> str:
        """Waits until the task is placed and returns its worker.

        Returns:
            The worker, or `HANDED_OVER` if the request should be forwarded to a
            peer.

        Raises:
            QueueFullError: The queue is full.
            OverloadedError: The expected wait exceeds the deadline, or no
                worker had capacity after all.
            DeadlineExceededError: The deadline passed.
        """
        self._refuse_early(task)
        self._queue.set_usage(task.team, self._usage(task.team))
        self._queue.push(task, self._now_ms())
        future = asyncio.get_running_loop().create_future()
        self._waiters[task.task_id] = future
        self._by_queue[task.queue] += 1
        self._by_team[task.team] += 1
        self._not_empty.set()
        self.place_waiting()
        try:
            return await future
        except asyncio.CancelledError:
            self._remove_cancelled(task, future)
            raise

    def capacity_freed(self, team: str) -> None:
        """Places waiting requests after a task of the team ended."""
        if self._queue:
            self._queue.set_usage(team, self._usage(team))
            self.place_waiting()

    def place_waiting(self) -> None:
        """Places waiting requests until none of them can be placed."""
        while self._queue:
            task = self._queue.pop(self._placement.can_place)
            if task is None:
                return
            self._start(task)

    def expire(self) -> None:
        """Refuses the requests whose deadline has passed."""
        for task in self._queue.expired(self._now_ms()):
            future = self._remove_waiter(task)
            if future is not None and not future.done():
                future.set_exception(
                    errors.DeadlineExceededError(
                        "the deadline passed while the request was waiting"
                    )
                )

    def hand_over_all(self) -> None:
        """Ends every wait so that the requests can be forwarded to peers."""
        while True:
            task = self._queue.pop(lambda _: True)
            if task is None:
                return
            self._resolve(task, HANDED_OVER)

    async def run(self) -> None:
        """Expires requests and retries placement; never returns."""
        while True:
            await self._not_empty.wait()
            self.expire()
            self.place_waiting()
            if self.is_empty:
                self._not_empty.clear()
                continue
            await asyncio.sleep(POLL_INTERVAL_S)

    def _start(self, task: model.TaskSpec) -> None:
        # `can_place` has just returned True, so a failure is a bug. Refusing
        # the request is correct, as it did not run, and keeps the queue going.
        try:
            worker_id = self._placement.try_place(task)
        except errors.MarigoldgapError as error:
            self._refuse(task, error)
            return
        if worker_id is None:
            self._refuse(
                task,
                errors.OverloadedError("no worker had room"),
            )
            return
        self._queue.set_usage(task.team, self._usage(task.team))
        self._estimate.record_start(task.service, self._now_ms())
        if self.is_empty:
            self._estimate.record_idle(task.service)
        self._resolve(task, worker_id)

    def _refuse_early(self, task: model.TaskSpec) -> None:
        if task.deadline_ms is None:
            return
        remaining_ms = task.deadline_ms - self._now_ms()
        if remaining_ms <= 0:
            raise errors.DeadlineExceededError("the deadline has passed")
        expected_ms = self.expected_wait_ms(task)
        if expected_ms is not None and expected_ms > remaining_ms:
            raise errors.OverloadedError(
                f"the expected wait of {expected_ms:.0f} ms exceeds the "
                f"deadline in {remaining_ms} ms"
            )

    def _remove_waiter(
        self, task: model.TaskSpec
    ) -> asyncio.Future[str] | None:
        future = self._waiters.pop(task.task_id, None)
        if future is not None:
            self._by_queue[task.queue] -= 1
            self._by_team[task.team] -= 1
            if not self._by_team[task.team]:
                del self._by_team[task.team]
        return future

    def _resolve(self, task: model.TaskSpec, worker_id: str) -> None:
        future = self._remove_waiter(task)
        if future is not None and not future.done():
            future.set_result(worker_id)
        elif worker_id:
            self._placement.finish(task.task_id)

    def _refuse(
        self, task: model.TaskSpec, error: errors.MarigoldgapError
    ) -> None:
        future = self._remove_waiter(task)
        if future is not None and not future.done():
            future.set_exception(error)

    def _remove_cancelled(
        self, task: model.TaskSpec, future: asyncio.Future[str]
    ) -> None:
        """Removes a request whose caller cancelled it."""
        self._queue.remove(task.task_id)
        self._remove_waiter(task)
        if future.done() and not future.cancelled() and not future.exception():
            self._placement.finish(task.task_id)
