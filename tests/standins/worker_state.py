"""The state of one worker: lease, tasks, tombstones, changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
import uuid

from marigoldgap import clock
from marigoldgap.scheduling import model
from tests.standins import worker_history
from tests.standins import worker_lease
from tests.standins import worker_records

_TICK_INTERVAL_S = 0.05
TASK_GRACE_MS = 8_000
_MAX_WAIT_MS = 30_000


class _Running(NamedTuple):
    """A running task; the result of `done` is its final state."""

    start: worker_records.Start
    done: asyncio.Future[str]
    timer: asyncio.TimerHandle | None


class WorkerState:
    """State of one worker.

    Args:
        worker: Description of the worker that its owner gets.
        clock_offset_ms: Offset of the worker's monotonic clock from the
            machine's, in milliseconds; owners must not rely on equal clocks.
        task_grace_ms: How long job tasks keep running without a lease, in
            milliseconds.
        events: List to which the worker appends its events; a new one by
            default.
    """

    def __init__(
        self,
        worker: model.WorkerInfo,
        clock_offset_ms: int = 0,
        task_grace_ms: int = TASK_GRACE_MS,
        events: list[worker_records.Event] | None = None,
    ) -> None:
        self._worker = worker
        self._clock_offset_ms = clock_offset_ms
        self._task_grace_ms = task_grace_ms
        self._running: dict[str, _Running] = {}
        self._history = worker_history.TaskHistory()
        self._changes: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self.lease = worker_lease.Lease()
        self.incarnation = uuid.uuid4().hex
        self.leaving = False
        self.fail_all = False
        self.records = worker_records.Records(
            worker.worker_id, worker.zone, [] if events is None else events
        )

    @property
    def worker(self) -> model.WorkerInfo:
        """The worker with its current state."""
        return self._worker._replace(leaving=self.leaving)

    @property
    def seq(self) -> int:
        """Sequence number of the last change."""
        return len(self._changes)

    def now_ms(self) -> int:
        """Returns the worker's own monotonic clock, in milliseconds."""
        return clock.monotonic_ms() + self._clock_offset_ms

    def inventory(self) -> list[model.RunningTask]:
        """Returns the running tasks."""
        return [running.start.task for running in self._running.values()]

    def usage(self) -> dict[str, dict[str, int]]:
        """Returns the resource usage of each running task."""
        return {
            task.task_id: {
                "millicores": task.resources.millicores,
                "memory_mib": task.resources.memory_mib,
            }
            for task in self.inventory()
        }

    def changes(self, since: int) -> list[dict[str, Any]]:
        """Returns the changes after a sequence number."""
        return self._changes[max(0, since) :]

    async def wait_for_changes(self, since: int, wait_ms: int) -> None:
        """Waits until there is a change after `since`, or for `wait_ms`."""
        if self.seq > since:
            return
        wait_s = min(wait_ms, _MAX_WAIT_MS) / clock.MILLISECONDS_PER_SECOND
        try:
            await asyncio.wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            pass

    def refusal(self, start: worker_records.Start) -> str:
        """Returns the code of the refusal of a start, or an empty string."""
        self.tick()
        for code, applies in self._refusals().items():
            if applies(start):
                self._record_refusal(start, code)
                return code
        return ""

    def run(self, start: worker_records.Start) -> asyncio.Future[str]:
        """Runs a task that was not refused; the future gets its final state."""
        loop = asyncio.get_running_loop()
        task = start.task
        done: asyncio.Future[str] = loop.create_future()
        run_ms = 0 if self.fail_all else start.run_ms
        state = "failed" if self.fail_all or start.fail else "finished"
        timer = None
        if run_ms is not None:
            timer = loop.call_later(
                run_ms / clock.MILLISECONDS_PER_SECOND,
                self._end,
                task.task_id,
                state,
            )
        self._history.remove(task.task_id)
        self._running[task.task_id] = _Running(start, done, timer)
        self.records.add_task(
            "start",
            worker_records.now_ms(),
            start,
            owner=self.lease.owner,
            leaving=self.leaving,
        )
        return done

    def stop(self, task_id: str, attempt: int | None, state: str) -> str:
        """Stops a task or leaves a tombstone; returns the resulting state.

        Args:
            task_id: The task.
            attempt: Last attempt that a tombstone covers; None refuses all
                attempts while the tombstone is retained.
            state: `stopped` or `checkpointed`.
        """
        self.tick()
        running = self._running.get(task_id)
        if running is not None:
            if attempt is not None and attempt < running.start.task.attempt:
                return "stopped"
            self._end(task_id, state)
            return state
        ended = self._history.state_of(task_id)
        if not ended:
            self._history.add(
                task_id, worker_history.NEVER_STARTED, attempt, self.now_ms()
            )
            return worker_history.NEVER_STARTED
        if ended in ("finished", "failed"):
            return "finished"
        if ended == worker_history.NEVER_STARTED:
            return ended
        return "stopped"

    def is_running(self, task_id: str) -> bool:
        """Returns whether the task runs."""
        return task_id in self._running

    def set_leaving(self, leaving: bool) -> None:
        """Sets whether the backend server is leaving."""
        self.leaving = leaving
        self.records.add("leaving", worker_records.now_ms(), leaving=leaving)

    def restart(self) -> None:
        """Loses tasks, lease and history, as a crash of the process does."""
        for task_id in list(self._running):
            self._end(task_id, "killed")
        self._history.clear()
        self._changes.clear()
        self.lease.end(self.now_ms())
        self.incarnation = uuid.uuid4().hex

    def tick(self) -> None:
        """Ends job tasks if no lease has been valid for the task grace time."""
        now_ms = self.now_ms()
        if self.lease.lapsed_ms(now_ms) >= self._task_grace_ms:
            for task_id, running in list(self._running.items()):
                if running.start.mode == "job":
                    self._end(task_id, "lapsed")
        self._history.expire(now_ms)

    async def run_ticks(self) -> None:
        """Calls `tick` at an interval until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(_TICK_INTERVAL_S)

    def _refusals(
        self,
    ) -> dict[str, Callable[[worker_records.Start], bool]]:
        """Returns the checks of a start by code; the first match refuses it."""
        return {
            "duplicate": self._is_duplicate,
            "stopped": self._history.is_stopped,
            "stale-epoch": lambda start: start.epoch != self.lease.epoch,
            "expired": self._is_expired,
            "leaving": lambda _: self.leaving,
            "busy": self._exceeds_capacity,
        }

    def _is_duplicate(self, start: worker_records.Start) -> bool:
        """Returns whether the task runs or this attempt already ended."""
        running = start.task.task_id in self._running
        return running or self._history.is_duplicate(start)

    def _is_expired(self, start: worker_records.Start) -> bool:
        """Returns whether the start came too late or no lease is valid."""
        now_ms = self.now_ms()
        if now_ms > start.valid_until_ms:
            return True
        return self.lease.remaining_ms(now_ms) == 0

    def _exceeds_capacity(self, start: worker_records.Start) -> bool:
        """Returns whether the task would exceed the free capacity."""
        used = [task.resources for task in self.inventory()]
        used.append(start.task.resources)
        return any(
            sum(amounts) > total
            for amounts, total in zip(
                zip(*used, strict=True), self._worker.capacity, strict=True
            )
        )

    def _record_refusal(self, start: worker_records.Start, code: str) -> None:
        """Records a refusal; one for lack of capacity is also a violation."""
        now_ms = worker_records.now_ms()
        self.records.add_task("refused", now_ms, start, code=code)
        if code == "busy":
            self.records.add_task("violation", now_ms, start, code="overcommit")

    def _end(self, task_id: str, state: str) -> None:
        """Ends a running task and reports the change of a job task."""
        running = self._running.pop(task_id, None)
        if running is None:
            return
        if running.timer is not None:
            running.timer.cancel()
        start = running.start
        self._history.add(task_id, state, start.task.attempt, self.now_ms())
        self.records.add_task(
            "end", worker_records.now_ms(), start, state=state
        )
        if not running.done.done():
            running.done.set_result(state)
        if start.mode == "job":
            self._report(task_id, state)

    def _report(self, task_id: str, state: str) -> None:
        """Adds a change and wakes requests that wait for changes."""
        exit_code = {"finished": 0, "failed": 1}.get(state)
        self._changes.append(
            {"task_id": task_id, "state": state, "exit_code": exit_code}
        )
        self._changed.set()
        self._changed = asyncio.Event()
