"""Places the job tasks that the coordinator assigns to this instance."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence

from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.dispatch import acceptance_gate
from marigoldgap.dispatch import holdings as dispatch_holdings
from marigoldgap.dispatch import interfaces
from marigoldgap.dispatch import model as dispatch_model
from marigoldgap.dispatch import placement as dispatch_placement
from marigoldgap.scheduling import model
from marigoldgap.workers import fleet as workers_fleet

_logger = logs.PartLogger("dispatch")

_MAX_START_ATTEMPTS = 4
_DUPLICATE = "duplicate"
# States after an action in which the task has stopped running.
ENDED_STATES = frozenset(
    {"stopped", "finished", "never-started", "checkpointed"}
)
# Longer than a coordinator needs to collect all reservations of a gang.
RESERVATION_S = 30.0
# Limits the time of the search for a task to checkpoint.
_MAX_PREEMPTION_CANDIDATES = 256


class JobTaskStarter:
    """Starts and stops job tasks on the owned workers.

    Args:
        fleet: Sends starts and actions to the workers.
        placement: The tasks that are counted on each worker.
        holdings: Units of the teams.
        gate: Decides which workers accept new work.
        settle: Called with the id of a task whose outcome is unknown.
        choose_victim: Chooses the task to checkpoint for urgent work.
    """

    def __init__(
        self,
        fleet: workers_fleet.WorkerFleet,
        placement: dispatch_placement.Placement,
        holdings: dispatch_holdings.HoldingsTable,
        gate: acceptance_gate.AcceptanceGate,
        settle: Callable[[str], None],
        choose_victim: interfaces.ChooseVictim,
    ) -> None:
        self._fleet = fleet
        self._placement = placement
        self._holdings = holdings
        self._gate = gate
        self._settle = settle
        self._choose_victim = choose_victim
        self._reservations: dict[str, dict[str, str]] = {}

    def existing_placement(
        self, task_id: str
    ) -> dispatch_model.PlaceOutcome | None:
        """Returns the outcome of a task that is already placed, or None.

        Such a task must not be refused, since the coordinator would then start
        it on another instance too.
        """
        worker_id = self._placement.worker_of(task_id)
        if worker_id is None:
            return None
        pending = self._placement.is_pending(task_id)
        return dispatch_model.PlaceOutcome(task_id, worker_id, unknown=pending)

    async def place(
        self, task: model.TaskSpec, payload: bytes
    ) -> dispatch_model.PlaceOutcome:
        """Starts a task on the best worker and tries others on a refusal.

        The task must not be placed already.
        """
        if not self._holdings.may_start(task.team):
            code = errors.LimitReachedError.code
            return dispatch_model.PlaceOutcome(task.task_id, refusal=code)
        avoid: frozenset[str] = frozenset()
        code = errors.CapacityError.code
        for _ in range(_MAX_START_ATTEMPTS):
            worker_id = self._placement.try_place(task, avoid)
            if worker_id is None and task.urgent:
                worker_id = await self._place_by_preemption(task)
            if worker_id is None:
                break
            outcome = await self._start(worker_id, task, payload)
            if not outcome.refusal:
                return outcome
            code = outcome.refusal
            avoid |= {worker_id}
        return dispatch_model.PlaceOutcome(task.task_id, refusal=code)

    def reserve(
        self, reservation_id: str, tasks: Sequence[model.TaskSpec]
    ) -> tuple[str, ...]:
        """Reserves capacity and units for the tasks of a gang.

        The reservation expires after `RESERVATION_S`, since the coordinator
        that requested it may have failed.

        Returns:
            Ids of the tasks that got both.
        """
        self.release(reservation_id)
        placed = {
            task.task_id: worker_id
            for task in tasks
            if self.existing_placement(task.task_id) is None
            and (worker_id := self._placement.try_place(task)) is not None
        }
        self._reservations[reservation_id] = placed
        self._request_missing_units(tasks, placed)
        asyncio.get_running_loop().call_later(
            RESERVATION_S, self._expire, reservation_id, placed
        )
        return tuple(placed)

    def _request_missing_units(
        self, tasks: Sequence[model.TaskSpec], placed: dict[str, str]
    ) -> None:
        """Requests units for the tasks that were not placed."""
        missing = Counter(
            task.team for task in tasks if task.task_id not in placed
        )
        for team, units in missing.items():
            if not self._holdings.may_start(team):
                self._holdings.request_units(team, units)

    def release(self, reservation_id: str) -> None:
        """Releases a reservation; ignores unknown ids."""
        for task_id in self._reservations.pop(reservation_id, {}):
            self._placement.finish(task_id)

    async def place_reserved(
        self, reservation_id: str, task: model.TaskSpec, payload: bytes
    ) -> dispatch_model.PlaceOutcome:
        """Starts a job task with its reserved capacity."""
        reserved = self._reservations.get(reservation_id, {})
        worker_id = reserved.pop(task.task_id, None)
        known = self.existing_placement(task.task_id)
        if worker_id is None and known is not None:
            return known
        if worker_id is None:
            code = errors.CapacityError.code
            return dispatch_model.PlaceOutcome(task.task_id, refusal=code)
        return await self._start(worker_id, task, payload)

    async def apply_action(
        self, worker_id: str, task_id: str, action: str
    ) -> str:
        """Stops, checkpoints or throttles a task; returns its state.

        Raises:
            MarigoldgapError: The state is not known; see
                `WorkerFleet.stop_task`.
        """
        state = await self._fleet.stop_task(worker_id, task_id, action)
        if state in ENDED_STATES:
            self._placement.finish(task_id)
        return state

    def _expire(self, reservation_id: str, placed: dict[str, str]) -> None:
        if self._reservations.get(reservation_id) is placed:
            self.release(reservation_id)

    async def _start(
        self, worker_id: str, task: model.TaskSpec, payload: bytes
    ) -> dispatch_model.PlaceOutcome:
        task_id = task.task_id
        try:
            self._placement.check_current(task_id)
            await self._fleet.start_job_task(worker_id, task, payload)
        except errors.OutcomeUnknownError:
            self._settle(task_id)
            return dispatch_model.PlaceOutcome(task_id, worker_id, unknown=True)
        except errors.WorkerRefusedError as error:
            if error.reason == _DUPLICATE:
                self._settle(task_id)
                return dispatch_model.PlaceOutcome(
                    task_id, worker_id, unknown=True
                )
            return self._handle_refusal(worker_id, task_id, error)
        except (errors.ConnectFailedError, errors.LeaseLostError) as error:
            return self._handle_refusal(worker_id, task_id, error)
        except BaseException:
            self._settle(task_id)
            raise
        self._placement.settle(task_id)
        return dispatch_model.PlaceOutcome(task_id, worker_id)

    def _handle_refusal(
        self, worker_id: str, task_id: str, error: errors.MarigoldgapError
    ) -> dispatch_model.PlaceOutcome:
        self._placement.finish(task_id)
        self._gate.handle_refusal(worker_id, error)
        return dispatch_model.PlaceOutcome(task_id, refusal=error.code)

    async def _place_by_preemption(self, task: model.TaskSpec) -> str | None:
        """Checkpoints a running task and places the task in its capacity.

        Returns:
            The worker, or None if no capacity became free.
        """
        running = self._placement.list_running(_MAX_PREEMPTION_CANDIDATES)
        victim = self._choose_victim(task, running)
        if victim is None:
            return None
        _logger.info(
            "checkpointing task %s for urgent task %s",
            victim.task_id,
            task.task_id,
        )
        try:
            await self.apply_action(
                victim.worker_id, victim.task_id, "checkpoint"
            )
        except errors.MarigoldgapError as error:
            _logger.warning(
                "cannot checkpoint the running task: %s", error.detail
            )
            return None
        return self._placement.try_place(task)
