"""State that the planners of tasks and gangs share in one pass, and queries."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import math
from typing import NamedTuple

from marigoldgap.cell import advice_targets
from marigoldgap.cell import fleet
from marigoldgap.cell import fleet_summary
from marigoldgap.cell import model
from marigoldgap.cell import run_times
from marigoldgap.cell import step_progress
from marigoldgap.cell import worker_capacity
from marigoldgap.cell import workspace_limits

# Minimum remaining validity of a ticket that is used: covers one crossing
# between regions and the wait in the command queue of a worker.
TICKET_MARGIN_S = 0.12
# Time for which reservations and quarantines may hold back a step that has to
# progress.
_MAX_HELD_BACK_S = 1.5
# The same for a quarantine whose worker goes on failing: such a step may have no
# run for 3 s.
_MAX_WITHHELD_S = 2.5
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


class Candidates:
    """The workers that a step may use, with their capacities in a pass.

    Capacities are created when they are first used: most steps use the few
    workers that they are advised on.

    Args:
        capacity: Returns the capacity of a worker, None if it is not usable.
        service: Service of the workers.
        label: Label that they have; empty for any.
        names: Names of all of them; may be out of date.
    """

    def __init__(
        self,
        capacity: Callable[[str], worker_capacity.WorkerCapacity | None],
        service: str,
        label: str,
        names: list[str],
    ) -> None:
        self._capacity = capacity
        self._service = service
        self._label = label
        self._names = names
        self._found: dict[str, worker_capacity.WorkerCapacity | None] = {}
        self._all: list[worker_capacity.WorkerCapacity] | None = None

    def __bool__(self) -> bool:
        return any(self.get(name) is not None for name in self._names)

    def get(self, worker_id: str) -> worker_capacity.WorkerCapacity | None:
        """Returns the capacity of a worker, None if the step cannot use it."""
        try:
            return self._found[worker_id]
        except KeyError:
            pass
        capacity = self._capacity(worker_id)
        if capacity is not None and not fleet_summary.has_requirement(
            capacity.worker.registration, self._service, self._label
        ):
            capacity = None
        self._found[worker_id] = capacity
        return capacity

    def values(self) -> list[worker_capacity.WorkerCapacity]:
        """Returns the capacities of all workers."""
        if self._all is None:
            found = map(self.get, self._names)
            self._all = [each for each in found if each is not None]
        return self._all

    def remove(self, worker_id: str) -> None:
        """Handles that a worker is not usable any more."""
        self._found[worker_id] = None
        self._all = None


class PlanningPass:
    """One pass over all waiting steps.

    Args:
        workers: The workers of the cell.
        times: Learned run times.
        usage: Resources that each workspace uses; updated with the plan.
        workspaces: Workspaces with their upper limits, by name.
        reserved: Workers on which gangs held reservations in the previous pass.
        now: Current monotonic time in seconds.
        evacuated: Names of the evacuated zones, whose workers are not used.
        summary: Scan of the workers; None to scan them now.
    """

    def __init__(
        self,
        workers: fleet.Fleet,
        times: run_times.RunTimes,
        usage: dict[str, list[int]],
        workspaces: dict[str, model.Workspace],
        reserved: frozenset[str],
        now: float,
        evacuated: frozenset[str],
        summary: fleet_summary.FleetSummary | None = None,
    ) -> None:
        self.times = times
        if summary is None:
            summary = fleet_summary.FleetSummary(workers, times, evacuated, now)
        self._summary = summary
        self.slow_downs = summary.slow_downs
        self.reserved = reserved
        self.now = now
        self.plan = Plan([], [])
        self._usage = usage
        self._workspaces = workspaces
        self._evacuated = evacuated
        self._all_workers = workers.values()
        # The workers that are not in an evacuated zone.
        self.workers = (
            [
                worker
                for worker in self._all_workers
                if worker.registration.zone not in evacuated
            ]
            if evacuated
            else self._all_workers
        )
        self._fleet = workers
        # Capacities of the workers that were used; None for those that are not
        # usable.
        self._capacities: dict[str, worker_capacity.WorkerCapacity | None] = {}
        self._by_requirement: dict[tuple[str, str], Candidates] = {}
        # Sizes of the workers inside and outside the evacuated zones.
        self._sizes: dict[
            tuple[str, str], tuple[set[model.Demand], set[model.Demand]]
        ] = {}

    @property
    def reserved_workers(self) -> frozenset[str]:
        """Workers on which gangs hold reservations in this pass."""
        return frozenset(
            worker_id
            for worker_id, capacity in self._capacities.items()
            if capacity is not None and capacity.unreserved is not None
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

    def candidates(self, step: step_progress.StepProgress) -> Candidates:
        """Returns the workers with the service and label of the step."""
        key = step.job.queue.service, step.spec.required_label
        found = self._by_requirement.get(key)
        if found is None:
            found = self._by_requirement[key] = Candidates(
                self._capacity, *key, self._summary.names(*key)
            )
        return found

    def _capacity(
        self, worker_id: str
    ) -> worker_capacity.WorkerCapacity | None:
        try:
            return self._capacities[worker_id]
        except KeyError:
            pass
        worker = self._fleet.get(worker_id)
        capacity = None
        if (
            worker is not None
            and worker.registration.zone not in self._evacuated
            and fleet_summary.is_usable(worker, self.now)
        ):
            capacity = worker_capacity.WorkerCapacity(worker)
        self._capacities[worker_id] = capacity
        return capacity

    def is_evacuated(self, step: step_progress.StepProgress) -> bool:
        """Returns whether all workers that a step could use are evacuated.

        A worker could be used if it has the service and the label of the step
        and is large enough for a task, also if it accepts no tasks now.
        """
        if not self._evacuated:
            return False
        key = step.job.queue.service, step.spec.required_label
        sizes = self._sizes.get(key)
        if sizes is None:
            sizes = self._sizes[key] = self._find_sizes(*key)
        evacuated, others = sizes
        return any(
            worker_capacity.fits_in(list(size), step.spec) for size in evacuated
        ) and not any(
            worker_capacity.fits_in(list(size), step.spec) for size in others
        )

    def _find_sizes(
        self, service: str, label: str
    ) -> tuple[set[model.Demand], set[model.Demand]]:
        sizes: tuple[set[model.Demand], set[model.Demand]] = set(), set()
        for worker in self._all_workers:
            registration = worker.registration
            if registration.service == service and (
                not label or label in registration.labels
            ):
                is_evacuated = registration.zone in self._evacuated
                sizes[not is_evacuated].add(registration.capacity)
        return sizes

    def advised_workers(
        self,
        step: step_progress.StepProgress,
        candidates: Candidates,
    ) -> list[worker_capacity.WorkerCapacity]:
        """Returns the advised workers; requests advice if there are none."""
        advised = self._without_withheld(self.allowed_workers(step, candidates))
        if not advised:
            self.request_more_advice(step)
        return advised

    def allowed_workers(
        self,
        step: step_progress.StepProgress,
        candidates: Candidates,
    ) -> list[worker_capacity.WorkerCapacity]:
        """Returns the advised workers, also those that quarantines withhold."""
        if step.job.queue.advice is None:
            return candidates.values()
        found = map(candidates.get, step.advised_workers)
        return [each for each in found if each is not None]

    def released_workers(
        self,
        step: step_progress.StepProgress,
        candidates: Candidates,
    ) -> list[worker_capacity.WorkerCapacity]:
        """Returns the workers for a step that was held back for too long.

        It may use a withheld worker if it has no room on others.
        """
        if not self.may_use_reserved(step):
            return []
        is_overdue = self.now - step.held_back_since_s >= _MAX_WITHHELD_S
        return [
            each
            for each in self.allowed_workers(step, candidates)
            if each.worker.is_withheld(self.now)
            and (is_overdue or each.worker.may_be_released(self.now))
        ]

    def _without_withheld(
        self, found: list[worker_capacity.WorkerCapacity]
    ) -> list[worker_capacity.WorkerCapacity]:
        """Leaves out quarantined workers, but keeps a share of the workers.

        The worker that failed least recently is used first.
        """
        withheld = [
            each.worker for each in found if each.worker.is_withheld(self.now)
        ]
        if not withheld:
            return found
        unused = {worker.worker_id for worker in withheld}
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
            or each.worker.worker_id not in unused
        ]

    def request_more_advice(self, step: step_progress.StepProgress) -> None:
        """Requests advice on further workers, most free cores first."""
        if step.is_advice_pending or step.job.queue.advice is None:
            return
        asked = step.asked_workers
        most_free = self._summary.by_free_cores(
            step.job.queue.service, step.spec.required_label
        )
        unknown = itertools.islice(
            (name for name in most_free if name not in asked),
            advice_targets.max_requested(step),
        )
        if workers := list(unknown):
            self.plan.advice.append((step, workers))

    def has_room(self, step: step_progress.StepProgress) -> bool:
        """Returns whether a worker may have room for a task of a step.

        Compares with the largest free amount of each resource, so that the cost
        does not grow with steps times workers.
        """
        largest = self._summary.largest_free(
            step.job.queue.service, step.spec.required_label
        )
        return worker_capacity.copies_in(largest, step.spec, 1) > 0

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
        """Returns whether a step has been held back for too long."""
        return (
            self.now - step.held_back_since_s >= _MAX_HELD_BACK_S
            and self.must_progress(step)
        )

    def must_progress(self, step: step_progress.StepProgress) -> bool:
        """Returns whether a step may be held back for a while only.

        Something of each step has to run while less than half of the cores of its
        service are in use, and each long-running task however full it is.
        """
        if step.spec.is_long_running and not step.spec.is_gang:
            return True
        return not step.active and self.is_fleet_idle(step)

    def is_fleet_idle(self, step: step_progress.StepProgress) -> bool:
        """Returns whether less than half of the service's cores are in use."""
        return self._summary.is_idle(step.job.queue.service)

    def close(self, capacity: worker_capacity.WorkerCapacity) -> None:
        """Places nothing else on a worker in this pass."""
        worker_id = capacity.worker.worker_id
        self._capacities[worker_id] = None
        for found in self._by_requirement.values():
            found.remove(worker_id)


def unadvised_reason(
    step: step_progress.StepProgress,
    candidates: Candidates,
) -> step_progress.WaitReason:
    """Returns why a step has no worker that it may use."""
    if not candidates:
        return step_progress.WaitReason.NO_CANDIDATE
    if step.is_advice_pending:
        return step_progress.WaitReason.ADVICE_PENDING
    return step_progress.WaitReason.NOT_ADVISED
