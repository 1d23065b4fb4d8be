"""Assigns waiting tasks to workers.

Steps are planned in the order of urgency. A gang that does not fit yet reserves
capacity on the workers where it is expected to fit first. Later steps may
backfill reserved capacity only if they are expected to end before the
reservation starts. Tasks that run alone are planned before all others.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.cell import fleet
from marigoldgap.cell import isolation
from marigoldgap.cell import jobs
from marigoldgap.cell import model
from marigoldgap.cell import run_times
from marigoldgap.cell import worker_capacity

# Maximum number of gangs with a reservation; others wait without one.
_MAX_RESERVING_GANGS = 8
# Pause before a gang that does not fit and has no reservation is examined again,
# and maximum number of gangs that are examined in one plan.
_EXAMINE_PAUSE_S = 0.5
_MAX_EXAMINED_GANGS = 32
# Time for which reservations may hold back a step of which nothing runs, while
# less than half of the cores of its service are in use.
_MAX_HELD_BACK_S = 1.5
# Minimum remaining validity of a ticket that is used: covers one crossing
# between regions and the wait in the command queue of a worker.
TICKET_MARGIN_S = 0.12
# Factor on the expected run time of a task that would backfill a reservation,
# since it may end later than expected.
_BACKFILL_MARGIN = 1.5
# The placement cost of a worker is its free millicores plus extra costs.
# Extra cost of a worker outside the rack of the data. It is doubled for a
# worker that the task avoids, and halved for one without a ticket.
_OTHER_RACK_COST = 100_000
# Extra cost of a worker that a gang has reserved: urgent tasks that use its
# capacity would delay the gang again and again.
_RESERVED_COST = 25_000
# A gang that is expected to fit within this time renews its tickets.
_TICKET_LEAD_S = 2.5
# Maximum number of workers for which a waiting gang renews tickets, unless it
# has reserved more.
_MAX_GANG_TICKETS = 40


# Expected end of a task that may use reserved capacity.
_IGNORES_RESERVATIONS = float("-inf")


class Placement(NamedTuple):
    """A task to start now, on a worker."""

    step: jobs.StepProgress
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
    advice: list[tuple[jobs.StepProgress, list[str]]]


class Planner:
    """Plans in passes; one call of `plan` is a pass over all waiting steps.

    Args:
        workers: The workers of the cell.
        times: Learned run times.
    """

    def __init__(self, workers: fleet.Fleet, times: run_times.RunTimes) -> None:
        self._workers = workers
        self._times = times
        self._capacities: dict[str, worker_capacity.WorkerCapacity] = {}
        self._by_requirement: dict[
            tuple[str, str], dict[str, worker_capacity.WorkerCapacity]
        ] = {}
        self._reserving_gangs = 0
        self._examined_gangs = 0
        # Whether less than half of the cores of a service are in use.
        self._is_idle: dict[str, bool] = {}
        # Workers on which gangs held reservations in the previous plan.
        self._reserved: frozenset[str] = frozenset()
        self._now = 0.0

    def plan(
        self,
        steps: list[jobs.StepProgress],
        usage: dict[str, list[int]],
        workspaces: dict[str, model.Workspace],
        now: float,
    ) -> Plan:
        """Plans the waiting steps.

        Args:
            steps: Steps with waiting tasks whose prerequisites are done.
            usage: Resources that each workspace uses; updated with the plan.
            workspaces: Workspaces with their upper limits, by name.
            now: Current monotonic time in seconds.
        """
        self._now = now
        self._reserving_gangs = 0
        self._examined_gangs = 0
        self._capacities = {
            worker.worker_id: worker_capacity.WorkerCapacity(worker)
            for worker in self._workers.values()
            if worker.accepts(now) and not isolation.has_isolated_run(worker)
        }
        self._by_requirement = {}
        self._is_idle = {}
        plan = Plan([], [])
        planned = sorted(steps, key=lambda step: _urgency(step, now))
        budget = isolation.WorkerBudget(self._workers.values())
        for step in planned:
            if step.not_before_s <= now:
                self._plan_isolated(step, budget, plan, usage, workspaces)
        for step in planned:
            reason = self._plan_step(step, plan, usage, workspaces)
            step.wait_reason = reason
            if reason is jobs.WaitReason.HELD_BACK:
                step.held_back_since_s = min(step.held_back_since_s, now)
            elif reason is jobs.WaitReason.STARTING:
                step.held_back_since_s = float("inf")
        self._reserved = frozenset(
            worker_id
            for worker_id, capacity in self._capacities.items()
            if capacity.unreserved is not None
        )
        return plan

    def _plan_step(
        self,
        step: jobs.StepProgress,
        plan: Plan,
        usage: dict[str, list[int]],
        workspaces: dict[str, model.Workspace],
    ) -> jobs.WaitReason:
        """Plans one step; returns why its tasks wait if none of them starts."""
        if step.not_before_s > self._now:
            return jobs.WaitReason.RETRY_PAUSE
        allowed = _allowed_tasks(step, usage, workspaces)
        if step.spec.is_gang:
            return self._plan_gang(step, allowed, plan, usage)
        if allowed <= 0:
            return jobs.WaitReason.WORKSPACE_LIMIT
        return self._plan_tasks(step, allowed, plan, usage)

    def _plan_isolated(
        self,
        step: jobs.StepProgress,
        budget: isolation.WorkerBudget,
        plan: Plan,
        usage: dict[str, list[int]],
        workspaces: dict[str, model.Workspace],
    ) -> None:
        """Plans the tasks of a step that run alone."""
        service = step.job.queue.service
        for position in isolation.waiting_positions(step):
            if budget.is_exhausted(service) or not _allowed_tasks(
                step, usage, workspaces
            ):
                return
            candidates = self._candidates(step)
            advised = self._advised_workers(step, candidates, plan)
            capacity = isolation.choose_worker(
                step,
                position,
                _below_task_limit(step, advised),
                self._now,
                self._times,
            )
            if capacity is None:
                if advised:
                    self._request_more_advice(step, candidates, plan)
                return
            budget.keep(service)
            self._close(capacity)
            if not isolation.can_start(capacity, step.spec, self._now):
                continue
            ticket = self._ticket(step, capacity)
            if ticket is None:
                if not step.is_advice_pending:
                    plan.advice.append((step, [capacity.worker.worker_id]))
                continue
            _add_usage(usage, step)
            plan.placements.append(
                Placement(step, position, capacity.worker, ticket)
            )

    def _close(self, capacity: worker_capacity.WorkerCapacity) -> None:
        """Places nothing else on a worker in this pass."""
        worker_id = capacity.worker.worker_id
        del self._capacities[worker_id]
        for found in self._by_requirement.values():
            found.pop(worker_id, None)

    def _candidates(
        self, step: jobs.StepProgress
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

    def _advised_workers(
        self,
        step: jobs.StepProgress,
        candidates: dict[str, worker_capacity.WorkerCapacity],
        plan: Plan,
    ) -> list[worker_capacity.WorkerCapacity]:
        """Returns the advised workers; requests advice if there are none."""
        if step.job.queue.advice is None:
            return list(candidates.values())
        advised = [
            candidates[name]
            for name in step.advised_workers
            if name in candidates
        ]
        if not advised:
            self._request_more_advice(step, candidates, plan)
        return advised

    def _request_more_advice(
        self,
        step: jobs.StepProgress,
        candidates: dict[str, worker_capacity.WorkerCapacity],
        plan: Plan,
    ) -> None:
        """Requests advice on further workers, most free cores first."""
        if step.is_advice_pending or step.job.queue.advice is None:
            return
        unknown = [
            name for name in candidates if name not in step.asked_workers
        ]
        if unknown:
            unknown.sort(key=lambda name: -candidates[name].free[0])
            plan.advice.append((step, unknown))

    def _ticket(
        self, step: jobs.StepProgress, capacity: worker_capacity.WorkerCapacity
    ) -> str | None:
        """Returns a valid ticket, empty if none is needed; None if missing."""
        if step.job.queue.advice is None:
            return ""
        ticket, valid_until = step.tickets.get(
            capacity.worker.worker_id, ("", 0.0)
        )
        return ticket if valid_until > self._now + TICKET_MARGIN_S else None

    def _plan_tasks(
        self,
        step: jobs.StepProgress,
        allowed: int,
        plan: Plan,
        usage: dict[str, list[int]],
    ) -> jobs.WaitReason:
        positions = [
            position
            for position in sorted(step.waiting)
            if not isolation.is_isolated(step, position)
        ]
        if not positions:
            return jobs.WaitReason.NO_WORKER_ALONE
        candidates = self._candidates(step)
        advised = self._advised_workers(step, candidates, plan)
        if not advised:
            return _unadvised_reason(step, candidates)
        reason = jobs.WaitReason.NO_CAPACITY
        ends_s = self._now + self._times.expected_s(step) * _BACKFILL_MARGIN
        if self._may_use_reserved(step):
            # One run shows progress; the reservations keep the other capacity.
            allowed, ends_s = 1, _IGNORES_RESERVATIONS
        counts = _tasks_by_worker(step)
        stale: list[str] = []
        for position in positions[:allowed]:
            capacity = self._best_worker(
                step, position, advised, counts, ends_s
            )
            if capacity is None:
                self._request_more_advice(step, candidates, plan)
                break
            ticket = self._ticket(step, capacity)
            if ticket is None:
                stale.append(capacity.worker.worker_id)
            else:
                reason = jobs.WaitReason.STARTING
                _add_usage(usage, step)
                plan.placements.append(
                    Placement(step, position, capacity.worker, ticket)
                )
            # Also keeps capacity for a task that waits for its ticket.
            capacity.take(step.spec, ends_s)
            worker_id = capacity.worker.worker_id
            counts[worker_id] = counts.get(worker_id, 0) + 1
        if stale and not step.is_advice_pending:
            plan.advice.append((step, sorted(set(stale))))
        if reason is not jobs.WaitReason.NO_CAPACITY:
            return reason
        if stale:
            return jobs.WaitReason.TICKETS_MISSING
        if (
            not step.active
            and self._is_fleet_idle(step)
            and any(
                capacity.fits(step.spec, _IGNORES_RESERVATIONS)
                for capacity in advised
            )
        ):
            return jobs.WaitReason.HELD_BACK
        return reason

    def _may_use_reserved(self, step: jobs.StepProgress) -> bool:
        """Returns whether reservations have held the step back for too long."""
        return (
            not step.active
            and self._now - step.held_back_since_s >= _MAX_HELD_BACK_S
            and self._is_fleet_idle(step)
        )

    def _is_fleet_idle(self, step: jobs.StepProgress) -> bool:
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

    def _best_worker(
        self,
        step: jobs.StepProgress,
        position: int,
        usable: list[worker_capacity.WorkerCapacity],
        counts: dict[str, int],
        ends_s: float,
    ) -> worker_capacity.WorkerCapacity | None:
        """Returns the worker with the lowest cost on which a task fits.

        Prefers workers that are in the rack of the data, are not reserved, have
        a ticket, and on which no run of the task has failed or made no
        progress; among them the one with the fewest free cores.
        """
        spec = step.spec
        avoid = step.avoid.get(position, set())
        best: worker_capacity.WorkerCapacity | None = None
        best_cost = 0
        for capacity in usable:
            worker_id = capacity.worker.worker_id
            if (
                spec.max_per_worker
                and counts.get(worker_id, 0) >= spec.max_per_worker
            ):
                continue
            if not capacity.fits(spec, ends_s):
                continue
            cost = capacity.free[0]
            if spec.data_rack and (
                capacity.worker.registration.rack != spec.data_rack
            ):
                cost += _OTHER_RACK_COST
            if worker_id in self._reserved:
                cost += _RESERVED_COST
            if worker_id in avoid:
                cost += 2 * _OTHER_RACK_COST
            if self._ticket(step, capacity) is None:
                cost += _OTHER_RACK_COST // 2
            if best is None or cost < best_cost:
                best, best_cost = capacity, cost
        return best

    def _plan_gang(
        self,
        step: jobs.StepProgress,
        allowed: int,
        plan: Plan,
        usage: dict[str, list[int]],
    ) -> jobs.WaitReason:
        spec = step.spec
        if step.active or len(step.waiting) < spec.task_count:
            return jobs.WaitReason.MEMBERS_ACTIVE
        candidates = self._candidates(step)
        advised = self._advised_workers(step, candidates, plan)
        if not advised:
            return _unadvised_reason(step, candidates)
        if allowed < spec.task_count:
            return jobs.WaitReason.WORKSPACE_LIMIT
        ends_s = self._now + self._times.expected_s(step)
        if self._may_use_reserved(step):
            ends_s = _IGNORES_RESERVATIONS
        advised = self._without_avoided(step, advised, ends_s)
        ticketed = [
            capacity
            for capacity in advised
            if self._ticket(step, capacity) is not None
        ]
        chosen = self._fit_gang_now(step, ticketed, ends_s)
        if chosen is not None:
            self._place_gang(step, chosen, ends_s, plan, usage)
            return jobs.WaitReason.STARTING
        if (
            self._now < step.examine_after_s
            or self._examined_gangs >= _MAX_EXAMINED_GANGS
        ):
            return step.wait_reason
        self._examined_gangs += 1
        return self._prepare_gang(step, candidates, advised, ends_s, plan)

    def _without_avoided(
        self,
        step: jobs.StepProgress,
        advised: list[worker_capacity.WorkerCapacity],
        ends_s: float,
    ) -> list[worker_capacity.WorkerCapacity]:
        """Leaves out workers that a gang avoids, if it fits on the others."""
        avoided = step.avoided_workers
        if not avoided:
            return advised
        others = [
            capacity
            for capacity in advised
            if capacity.worker.worker_id not in avoided
        ]
        if self._fit_gang_now(step, others, ends_s) is None:
            return advised
        return others

    def _prepare_gang(
        self,
        step: jobs.StepProgress,
        candidates: dict[str, worker_capacity.WorkerCapacity],
        advised: list[worker_capacity.WorkerCapacity],
        ends_s: float,
        plan: Plan,
    ) -> jobs.WaitReason:
        """Requests tickets and reserves capacity for a gang that waits."""
        has_reservation = self._reserving_gangs < _MAX_RESERVING_GANGS
        chosen = self._fit_gang_now(step, advised, ends_s)
        if chosen is None:
            self._request_more_advice(step, candidates, plan)
            return self._reserve_later(step, advised, has_reservation, plan)
        if has_reservation:
            self._reserving_gangs += 1
            for capacity, count in chosen:
                capacity.reserve(
                    step.spec.demand, count, self._now, list(capacity.free)
                )
        self._renew_tickets(
            step, [capacity for capacity, _ in chosen], advised, plan
        )
        return jobs.WaitReason.TICKETS_MISSING

    def _reserve_later(
        self,
        step: jobs.StepProgress,
        advised: list[worker_capacity.WorkerCapacity],
        has_reservation: bool,
        plan: Plan,
    ) -> jobs.WaitReason:
        """Reserves capacity for a gang that does not fit now."""
        reason = jobs.WaitReason.NO_CAPACITY
        if self._is_fleet_idle(step) and self._fit_gang_now(
            step, advised, _IGNORES_RESERVATIONS
        ):
            reason = jobs.WaitReason.HELD_BACK
        elif not has_reservation:
            reason = jobs.WaitReason.NO_RESERVATION
        at = float("inf")
        kept: list[worker_capacity.WorkerCapacity] = []
        if has_reservation:
            at, kept = self._reserve_gang(step, advised)
        if not kept:
            step.examine_after_s = self._now + _EXAMINE_PAUSE_S
            return reason
        self._reserving_gangs += 1
        if at - self._now <= _TICKET_LEAD_S:
            self._renew_tickets(step, kept, advised, plan)
        return reason

    def _place_gang(
        self,
        step: jobs.StepProgress,
        chosen: list[tuple[worker_capacity.WorkerCapacity, int]],
        ends_s: float,
        plan: Plan,
        usage: dict[str, list[int]],
    ) -> None:
        position = 0
        for capacity, count in chosen:
            ticket = self._ticket(step, capacity) or ""
            for _ in range(count):
                capacity.take(step.spec, ends_s)
                _add_usage(usage, step)
                plan.placements.append(
                    Placement(step, position, capacity.worker, ticket)
                )
                position += 1

    def _fit_gang_now(
        self,
        step: jobs.StepProgress,
        usable: list[worker_capacity.WorkerCapacity],
        ends_s: float,
    ) -> list[tuple[worker_capacity.WorkerCapacity, int]] | None:
        """Returns workers on which all members fit now, or None."""
        spec = step.spec
        bound = spec.max_per_worker or spec.task_count
        found: list[tuple[worker_capacity.WorkerCapacity, int]] = []
        for capacity in usable:
            copies = capacity.copies(spec.demand, bound)
            if (
                capacity.unreserved is not None
                and ends_s > capacity.reserved_from_s
            ):
                copies = min(
                    copies,
                    worker_capacity.copies_in(
                        capacity.unreserved, spec.demand, bound
                    ),
                )
            if copies:
                found.append((capacity, copies))
        return worker_capacity.choose_workers(step, found)

    def _renew_tickets(
        self,
        step: jobs.StepProgress,
        reserved: list[worker_capacity.WorkerCapacity],
        advised: list[worker_capacity.WorkerCapacity],
        plan: Plan,
    ) -> None:
        """Renews the tickets of a waiting gang before they expire.

        A call takes most of the time for which a ticket is valid. The gang
        therefore holds tickets for the workers that it has reserved, and for
        further workers up to `_MAX_GANG_TICKETS` in all, so that it can start
        as soon as the last member fits.
        """
        advice = step.job.queue.advice
        if advice is None or step.is_advice_pending:
            return
        held = set(map(id, reserved))
        others = [capacity for capacity in advised if id(capacity) not in held]
        others.sort(key=lambda capacity: -capacity.free[0])
        kept = [*reserved, *others]
        kept = kept[: max(_MAX_GANG_TICKETS, len(reserved))]
        call_s = (advice.decide_ms + advice.each_ms * len(kept)) / 1000
        renew_from = self._now + TICKET_MARGIN_S + call_s
        if any(
            step.tickets.get(capacity.worker.worker_id, ("", 0.0))[1]
            < renew_from
            for capacity in kept
        ):
            plan.advice.append(
                (step, [capacity.worker.worker_id for capacity in kept])
            )

    def _reserve_gang(
        self,
        step: jobs.StepProgress,
        usable: list[worker_capacity.WorkerCapacity],
    ) -> tuple[float, list[worker_capacity.WorkerCapacity]]:
        """Reserves capacity where the gang is expected to fit first.

        Returns:
            The time at which it is expected to fit, infinite if unknown, and
            the reserved workers.
        """
        found = worker_capacity.earliest_fit(
            step, usable, self._now, self._times
        )
        if found is None:
            return float("inf"), []
        at, chosen = found
        for capacity, count in chosen:
            capacity.reserve(
                step.spec.demand,
                count,
                at,
                capacity.free_at(at, self._now, self._times),
            )
        return at, [capacity for capacity, _ in chosen]


def _urgency(
    step: jobs.StepProgress, now: float
) -> tuple[bool, int, jobs.Lateness, float]:
    """Returns the sort key: fair rate, priority, lateness, then deadline.

    Steps that are already late come after those that can still be on time:
    under overload they would otherwise make all others late.
    """
    job = step.job
    return (
        job.is_over_fair_rate,
        job.queue.priority,
        step.lateness(now),
        step.deadline_s,
    )


def _unadvised_reason(
    step: jobs.StepProgress,
    candidates: dict[str, worker_capacity.WorkerCapacity],
) -> jobs.WaitReason:
    """Returns why a step has no worker that it may use."""
    if not candidates:
        return jobs.WaitReason.NO_CANDIDATE
    if step.is_advice_pending:
        return jobs.WaitReason.ADVICE_PENDING
    return jobs.WaitReason.NOT_ADVISED


def _tasks_by_worker(step: jobs.StepProgress) -> dict[str, int]:
    """Returns the number of tasks of the step that each worker runs."""
    counts: dict[str, int] = {}
    for run in step.active.values():
        worker_id = run.worker.worker_id
        counts[worker_id] = counts.get(worker_id, 0) + 1
    return counts


def _below_task_limit(
    step: jobs.StepProgress,
    capacities: list[worker_capacity.WorkerCapacity],
) -> list[worker_capacity.WorkerCapacity]:
    """Returns the workers with fewer tasks of the step than it allows."""
    limit = step.spec.max_per_worker
    if not limit:
        return capacities
    counts = _tasks_by_worker(step)
    return [
        capacity
        for capacity in capacities
        if counts.get(capacity.worker.worker_id, 0) < limit
    ]


def _allowed_tasks(
    step: jobs.StepProgress,
    usage: dict[str, list[int]],
    workspaces: dict[str, model.Workspace],
) -> int:
    """Returns how many waiting tasks the workspace's upper limit allows."""
    workspace = workspaces.get(step.job.record.workspace)
    allowed = len(step.waiting)
    if workspace is None:
        return allowed
    used = usage.get(workspace.name, [0, 0, 0])
    for index, limit in enumerate(workspace.limit):
        need = step.spec.demand[index]
        if limit and need:
            allowed = min(allowed, (limit - used[index]) // need)
    return max(0, allowed)


def _add_usage(usage: dict[str, list[int]], step: jobs.StepProgress) -> None:
    used = usage.setdefault(step.job.record.workspace, [0, 0, 0])
    for index, amount in enumerate(step.spec.demand):
        used[index] += amount
