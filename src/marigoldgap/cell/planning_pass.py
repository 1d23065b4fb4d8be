"""State that the planners of tasks and gangs share in one pass, and queries."""

from __future__ import annotations

import math
from typing import NamedTuple

from marigoldgap.cell import fleet
from marigoldgap.cell import isolation
from marigoldgap.cell import model
from marigoldgap.cell import run_times
from marigoldgap.cell import step_progress
from marigoldgap.cell import worker_capacity
from marigoldgap.cell import workspace_limits

# Minimum remaining validity of a ticket that is used: covers one crossing
# between regions and the wait in the command queue of a worker.
TICKET_MARGIN_S = 0.12
# Time for which reservations may hold back a step of which nothing runs, while
# less than half of the cores of its service are in use.
_MAX_HELD_BACK_S = 1.5
# Minimum share of the workers that a step may use, though more of them are
# quarantined: tasks that fail by their own fault quarantine sound workers.
_MIN_USED_SHARE = 0.5
# Expected end of a task that may use reserved capacity.
IGNORES_RESERVATIONS = float("-inf")


class Placement(NamedTuple):
    """A task to start now, on a worker."""

    step: step_progress.StepProgress
    position: int
    worker: fleet.Worker
    ticket: str


class Plan(NamedTuple):
    """Result of one planning pass.

    Attributes:
        placements: Tasks to start; a gang has all or none of its members here.
        advice: Steps that need tickets, with the workers to ask about.
    """

    placements: list[Placement]
    advice: list[tuple[step_progress.StepProgress, list[str]]]


class PlanningPass:
    """One pass over all waiting steps.

    Args:
        workers: The workers of the cell.
        times: Learned run times.
        usage: Resources that each workspace uses; updated with the plan.
        workspaces: Workspaces with their upper limits, by name.
        reserved: Workers on which gangs held reservations in the previous pass.
        now: Current monotonic time in seconds.
    """

    def __init__(
        self,
        workers: fleet.Fleet,
        times: run_times.RunTimes,
        usage: dict[str, list[int]],
        workspaces: dict[str, model.Workspace],
        reserved: frozenset[str],
        now: float,
    ) -> None:
        self.times = times
        self.reserved = reserved
        self.now = now
        self.plan = Plan([], [])
        self._usage = usage
        self._workspaces = workspaces
        self._capacities = {
            worker.worker_id: worker_capacity.WorkerCapacity(worker)
            for worker in workers.values()
            if worker.is_available(now)
            and not isolation.has_isolated_run(worker, now)
        }
        self._withheld = {
            worker_id
            for worker_id, capacity in self._capacities.items()
            if capacity.worker.is_withheld(now)
        }
        self._by_requirement: dict[
            tuple[str, str], dict[str, worker_capacity.WorkerCapacity]
        ] = {}
        # Largest free amount of each resource on the workers of a requirement.
        self._largest_free: dict[tuple[str, str], list[int]] = {}
        # Whether less than half of the cores of a service are in use.
        self._is_idle: dict[str, bool] = {}

    @property
    def reserved_workers(self) -> frozenset[str]:
        """Workers on which gangs hold reservations in this pass."""
        return frozenset(
            worker_id
            for worker_id, capacity in self._capacities.items()
            if capacity.unreserved is not None
        )

    def place(
        self,
        step: step_progress.StepProgress,
        position: int,
        capacity: worker_capacity.WorkerCapacity,
        ticket: str,
    ) -> None:
        """Adds a task to the plan and counts it in the use of its workspace."""
        used = self._usage.setdefault(step.job.record.workspace, [0, 0, 0])
        for index, amount in enumerate(step.spec.demand):
            used[index] += amount
        self.plan.placements.append(
            Placement(step, position, capacity.worker, ticket)
        )

    def allowed_tasks(self, step: step_progress.StepProgress) -> int:
        """Returns how many waiting tasks the workspace's upper limit allows."""
        workspace = self._workspaces.get(step.job.record.workspace)
        if workspace is None:
            return len(step.waiting)
        return workspace_limits.allowed_tasks(
            workspace.limit,
            self._usage.get(workspace.name, [0, 0, 0]),
            step.spec,
            len(step.waiting),
            has_runs=bool(step.active),
        )

    def candidates(
        self, step: step_progress.StepProgress
    ) -> dict[str, worker_capacity.WorkerCapacity]:
        """Returns the workers with the service and label of the step."""
        key = step.job.queue.service, step.spec.required_label
        found = self._by_requirement.get(key)
        if found is None:
            service, label = key
            found = {
                worker_id: capacity
                for worker_id, capacity in self._capacities.items()
                if capacity.worker.registration.service == service
                and (not label or label in capacity.worker.registration.labels)
            }
            self._by_requirement[key] = found
        return found

    def advised_workers(
        self,
        step: step_progress.StepProgress,
        candidates: dict[str, worker_capacity.WorkerCapacity],
    ) -> list[worker_capacity.WorkerCapacity]:
        """Returns the advised workers; requests advice if there are none."""
        if step.job.queue.advice is None:
            return self._without_withheld(list(candidates.values()))
        advised = self._without_withheld(
            [
                candidates[name]
                for name in step.advised_workers
                if name in candidates
            ]
        )
        if not advised:
            self.request_more_advice(step, candidates)
        return advised

    def _without_withheld(
        self, found: list[worker_capacity.WorkerCapacity]
    ) -> list[worker_capacity.WorkerCapacity]:
        """Leaves out quarantined workers, but keeps a share of the workers.

        The worker that failed least recently is used first.
        """
        if not self._withheld:
            return found
        withheld = [
            each.worker
            for each in found
            if each.worker.worker_id in self._withheld
        ]
        withheld.sort(key=lambda worker: worker.last_failure_s)
        sound = len(found) - len(withheld)
        missing = max(0, math.ceil(_MIN_USED_SHARE * len(found)) - sound)
        released = {
            worker.worker_id
            for worker in withheld[:missing]
            if worker.may_be_released(self.now)
        }
        return [
            each
            for each in found
            if each.worker.worker_id in released
            or each.worker.worker_id not in self._withheld
        ]

    def request_more_advice(
        self,
        step: step_progress.StepProgress,
        candidates: dict[str, worker_capacity.WorkerCapacity],
    ) -> None:
        """Requests advice on further workers, most free cores first."""
        if step.is_advice_pending or step.job.queue.advice is None:
            return
        unknown = [
            name for name in candidates if name not in step.asked_workers
        ]
        if unknown:
            unknown.sort(key=lambda name: -candidates[name].free[0])
            self.plan.advice.append((step, unknown))

    def has_room(self, step: step_progress.StepProgress) -> bool:
        """Returns whether a worker may have room for a task of a step.

        Compares with the largest free amount of each resource, taken once in
        each pass, so that the cost does not grow with steps times workers.
        """
        if step.spec.uses_idle_only:
            return True
        key = step.job.queue.service, step.spec.required_label
        largest = self._largest_free.get(key)
        if largest is None:
            largest = self._largest_free[key] = [0, 0, 0]
            for capacity in self.candidates(step).values():
                largest[:] = map(max, largest, capacity.free)
        return worker_capacity.copies_in(largest, step.spec.demand, 1) > 0

    def ticket(
        self,
        step: step_progress.StepProgress,
        capacity: worker_capacity.WorkerCapacity,
    ) -> str | None:
        """Returns a valid ticket, empty if none is needed; None if missing."""
        if step.job.queue.advice is None:
            return ""
        ticket, valid_until = step.tickets.get(
            capacity.worker.worker_id, ("", 0.0)
        )
        return ticket if valid_until > self.now + TICKET_MARGIN_S else None

    def may_use_reserved(self, step: step_progress.StepProgress) -> bool:
        """Returns whether reservations have held the step back for too long."""
        return (
            not step.active
            and self.now - step.held_back_since_s >= _MAX_HELD_BACK_S
            and self.is_fleet_idle(step)
        )

    def is_fleet_idle(self, step: step_progress.StepProgress) -> bool:
        """Returns whether less than half of the service's cores are in use."""
        service = step.job.queue.service
        is_idle = self._is_idle.get(service)
        if is_idle is None:
            total = free = 0
            for capacity in self._capacities.values():
                registration = capacity.worker.registration
                if registration.service == service:
                    total += registration.capacity.millicores
                    free += capacity.free[0]
            is_idle = self._is_idle[service] = 2 * free > total
        return is_idle

    def close(self, capacity: worker_capacity.WorkerCapacity) -> None:
        """Places nothing else on a worker in this pass."""
        worker_id = capacity.worker.worker_id
        del self._capacities[worker_id]
        for found in self._by_requirement.values():
            found.pop(worker_id, None)


def unadvised_reason(
    step: step_progress.StepProgress,
    candidates: dict[str, worker_capacity.WorkerCapacity],
) -> step_progress.WaitReason:
    """Returns why a step has no worker that it may use."""
    if not candidates:
        return step_progress.WaitReason.NO_CANDIDATE
    if step.is_advice_pending:
        return step_progress.WaitReason.ADVICE_PENDING
    return step_progress.WaitReason.NOT_ADVISED
