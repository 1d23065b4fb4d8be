"""Starts and stops job tasks on the workers of this instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import owned_tasks
from marigoldgap.coordination import payloads as payloads_module
from marigoldgap.coordination import reservations
from marigoldgap.dispatch import model as dispatch_model
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.scheduling import model

_log = logs.PartLogger("coordination")

# Interval between attempts to find out whether a start took effect. They end at
# the latest when the lease on the worker is lost.
_CONFIRM_INTERVAL_S = 0.5
_UNCONFIRMED = "start-unconfirmed"
_EXPIRED = "reservation-expired"
_NOT_RUNNING_STATES = frozenset({"stopped", "never-started"})

Start = Callable[[model.TaskSpec, bytes], Coroutine[Any, Any, Any]]
SendResults = Callable[[tuple[job_messages.Placed, ...], dict[str, int]], None]


class TaskRunner:
    """Starts each attempt at most once, even if requested repeatedly.

    Args:
        placer: Starts job tasks on workers.
        stopper: Stops running tasks.
        objects: Stores large payloads.
    """

    def __init__(
        self,
        placer: interfaces.Placer,
        stopper: interfaces.TaskStopper,
        objects: interfaces.ObjectClient,
    ) -> None:
        self._placer = placer
        self._stopper = stopper
        self._objects = objects
        self._reservations = reservations.ReservationTable(placer)
        self._placing: dict[str, model.TaskSpec] = {}
        self._placed: dict[str, dict[str, job_messages.Placed]] = {}
        self._results: list[job_messages.Placed] = []
        # Number of refused tasks by team; their units are returned.
        self._refused_by_team: dict[str, int] = {}
        self._start_tasks: set[asyncio.Task[None]] = set()

    def attach(
        self, tasks: owned_tasks.OwnedTasks, send_results: SendResults
    ) -> None:
        """Sets the receivers of started tasks and of results."""
        self._tasks = tasks
        self._send_results = send_results

    def placing(self) -> tuple[model.RunningTask, ...]:
        """Returns the tasks whose start is in progress."""
        return tuple(
            owned_tasks.running_task(task, "")
            for task in self._placing.values()
        )

    def placing_of(self, team: str) -> int:
        """Returns the number of starts of a team that are in progress."""
        return sum(task.team == team for task in self._placing.values())

    def place(
        self,
        tasks: Sequence[model.TaskSpec],
        payloads: Sequence[job_messages.Payload],
    ) -> None:
        """Starts tasks; repeated ones only have their result sent again."""
        self._start_all(tasks, payloads, self._placer.place_job_task)

    def reserve(
        self, message: job_messages.ReserveGang
    ) -> job_messages.ReserveResult:
        """Reserves capacity for tasks until the reservation expires."""
        return self._reservations.reserve(message)

    def commit(self, message: job_messages.CommitGang) -> None:
        """Starts reserved tasks, or refuses them if the reservation expired."""
        kept = self._reservations.commit(message.reservation_id)
        kept_ids = {task.task_id for task in kept}

        async def start(
            task: model.TaskSpec, payload: bytes
        ) -> dispatch_model.PlaceOutcome:
            if task.task_id not in kept_ids:
                return dispatch_model.PlaceOutcome(
                    task.task_id, refusal=_EXPIRED
                )
            return await self._placer.place_reserved(
                message.reservation_id, task, payload
            )

        self._start_all(message.tasks, message.payloads, start)

    def release(self, reservation_id: str) -> None:
        """Releases a reservation."""
        self._reservations.release(reservation_id)

    async def stop(
        self, tasks: Sequence[job_messages.TaskAddress], action: str
    ) -> job_messages.StopResult:
        """Stops tasks; a state is empty if it could not be determined."""
        stops = [self._stop_one(address, action) for address in tasks]
        return job_messages.StopResult(tuple(await asyncio.gather(*stops)))

    def forget_jobs(self, job_ids: Iterable[str]) -> None:
        """Removes the results of closed jobs."""
        for job_id in job_ids:
            self._placed.pop(job_id, None)

    def _start_all(
        self,
        tasks: Sequence[model.TaskSpec],
        payloads: Sequence[job_messages.Payload],
        start: Start,
    ) -> None:
        """Starts the tasks that are new; sends known results again."""
        source = payloads_module.PayloadSource(payloads, self._objects)
        for task in tasks:
            known = self._placed.get(task.job_id, {}).get(task.task_id)
            if known is not None:
                self._report(task, known)
            elif task.task_id not in self._placing:
                self._placing[task.task_id] = task
                self._spawn(self._place_one(task, source, start))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a background task."""
        running = asyncio.create_task(work)
        self._start_tasks.add(running)
        running.add_done_callback(self._start_tasks.discard)

    async def _place_one(
        self,
        task: model.TaskSpec,
        source: payloads_module.PayloadSource,
        start: Start,
    ) -> None:
        """Starts one task and reports the result."""
        placed = await self._try_to_place(task, source, start)
        if placed.unknown and placed.worker_id:
            placed = await self._confirm(placed)
        if placed.worker_id and not placed.refusal:
            self._tasks.placed(task, placed.worker_id)
        self._placing.pop(task.task_id, None)
        self._placed.setdefault(task.job_id, {})[task.task_id] = placed
        self._report(task, placed)

    async def _try_to_place(
        self,
        task: model.TaskSpec,
        source: payloads_module.PayloadSource,
        start: Start,
    ) -> job_messages.Placed:
        """Starts one task; errors are converted to results."""
        try:
            payload = await source.get(task.job_id)
        except errors.MarigoldgapError as error:
            return _refused(task, error.code)
        try:
            outcome: dispatch_model.PlaceOutcome = await start(task, payload)
        except errors.MarigoldgapError as error:
            if error.ran is errors.Ran.NO:
                return _refused(task, error.code)
            return job_messages.Placed(task.task_id, "", "", True)
        except Exception:
            _log.exception("Starting task %s failed.", task.task_id)
            return job_messages.Placed(task.task_id, "", "", True)
        return job_messages.Placed(
            task_id=task.task_id,
            worker_id=outcome.worker_id,
            refusal=outcome.refusal,
            unknown=outcome.unknown,
        )

    async def _confirm(
        self, placed: job_messages.Placed
    ) -> job_messages.Placed:
        """Stops a task whose start may have taken effect.

        If the lease on the worker is lost in the meantime, the result stays
        unknown; the next owner reports the tasks that the worker runs.
        """
        while True:
            address = job_messages.TaskAddress(placed.worker_id, placed.task_id)
            outcome = await self._stop_one(address, "stop")
            if outcome.state in _NOT_RUNNING_STATES:
                return placed._replace(
                    worker_id="", refusal=_UNCONFIRMED, unknown=False
                )
            if outcome.state == "lease-lost":
                return placed
            if outcome.state:
                return placed._replace(unknown=False)
            await asyncio.sleep(_CONFIRM_INTERVAL_S)

    async def _stop_one(
        self, address: job_messages.TaskAddress, action: str
    ) -> messages.Outcome:
        """Stops or checkpoints one task and returns its state."""
        try:
            state = await self._stopper.stop_task(
                address.worker_id, address.task_id, action
            )
        except errors.LeaseLostError as error:
            state = error.code
        except errors.MarigoldgapError:
            state = ""
        return messages.Outcome(address.task_id, address.worker_id, state, None)

    def _report(
        self, task: model.TaskSpec, placed: job_messages.Placed
    ) -> None:
        """Queues a result; all results of a loop cycle are sent together."""
        if not self._results:
            asyncio.get_running_loop().call_soon(self._flush)
        self._results.append(placed)
        refused = 1 if is_refused(placed) else 0
        before = self._refused_by_team.get(task.team, 0)
        self._refused_by_team[task.team] = before + refused

    def _flush(self) -> None:
        """Sends the queued results."""
        results, self._results = self._results, []
        teams, self._refused_by_team = self._refused_by_team, {}
        self._send_results(tuple(results), teams)


def is_refused(placed: job_messages.Placed) -> bool:
    """Whether a task is certain not to have started."""
    return bool(placed.refusal) or not (placed.worker_id or placed.unknown)


def _refused(task: model.TaskSpec, code: str) -> job_messages.Placed:
    """Returns the result of a task that is certain not to have started."""
    return job_messages.Placed(task.task_id, "", code, False)
