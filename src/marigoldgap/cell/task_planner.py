"""Places single tasks, and tasks that run alone, in a planning pass."""

from __future__ import annotations

from marigoldgap.cell import isolation
from marigoldgap.cell import planning_pass
from marigoldgap.cell import step_progress
from marigoldgap.cell import worker_capacity

# Share of the runs that end within the time for which a task is expected to
# backfill a reservation. Without learned times it is 1.5 times the declared time.
_BACKFILL_SHARE = 0.85
# The placement cost of a worker is its free millicores plus extra costs.
# Extra cost of a worker outside the rack of the data. It is doubled for a
# worker that the task avoids, and halved for one without a ticket.
_OTHER_RACK_COST = 100_000
# Extra cost of each second by which a task is expected to take longer on a worker
# than on a usual one: as much as 20 free cores, since filling up workers serves
# only the tasks that come later. Its bound is below the cost of a worker that the
# task avoids: a slow worker still completes tasks.
_EXTRA_SECOND_COST = 20_000
_MAX_EXTRA_COST = 150_000
# Extra cost of a worker that a gang has reserved: urgent tasks that use its
# capacity would delay the gang again and again.
_RESERVED_COST = 25_000


def plan_isolated(
    planning: planning_pass.PlanningPass,
    step: step_progress.StepProgress,
    budget: isolation.WorkerBudget,
) -> None:
    """Plans the tasks of a step that run alone.

    Those that have waited too long, and cannot start alone now, share workers.
    """
    overdue = isolation.overdue_positions(step, planning.now)
    for position in isolation.waiting_positions(step):
        if not _plan_alone(planning, step, position, budget, overdue):
            break
    step.sharing.update(overdue)


def _plan_alone(
    planning: planning_pass.PlanningPass,
    step: step_progress.StepProgress,
    position: int,
    budget: isolation.WorkerBudget,
    overdue: set[int],
) -> bool:
    """Plans a task that runs alone, on a worker that is kept for it.

    Args:
        planning: The planning pass.
        step: Step of the task.
        position: Position of the task.
        budget: Limits the workers that are kept.
        overdue: Positions of the tasks that wait for no worker; the task is
            removed if it gets one.

    Returns:
        Whether a worker may be kept for a further task of the step.
    """
    if not planning.allowed_tasks(step):
        return False
    candidates = planning.candidates(step)
    advised = planning.advised_workers(step, candidates)
    usable = _below_task_limit(step, advised)
    allowed = [each for each in usable if budget.allows(each.worker)]
    if usable and not allowed:
        return False
    capacity = isolation.choose_worker(
        step, position, allowed, planning.now, planning.times
    )
    if capacity is None:
        if advised:
            planning.request_more_advice(step)
        return False
    can_start = isolation.can_start(
        capacity, step.spec, planning.now, planning.times
    )
    if position in overdue and not can_start:
        return True
    overdue.discard(position)
    budget.keep(capacity.worker)
    planning.close(capacity)
    if not can_start:
        return True
    ticket = planning.ticket(step, capacity)
    if ticket is not None:
        planning.place(step, position, capacity, ticket)
    elif not step.is_advice_pending:
        planning.plan.advice.append((step, [capacity.worker.worker_id]))
    return True


def plan_tasks(
    planning: planning_pass.PlanningPass, step: step_progress.StepProgress
) -> step_progress.WaitReason:
    """Plans the tasks of a step that share workers.

    Returns:
        Why its tasks wait, if none of them starts.
    """
    allowed = planning.allowed_tasks(step)
    if allowed <= 0:
        return step_progress.WaitReason.WORKSPACE_LIMIT
    positions = [
        position
        for position in sorted(step.waiting)
        if not isolation.is_isolated(step, position)
    ]
    if not positions:
        return step_progress.WaitReason.NO_WORKER_ALONE
    candidates = planning.candidates(step)
    if step.job.queue.advice is None and not planning.has_room(step):
        # Workers are not examined for each of many steps that fit on none.
        if not candidates:
            return step_progress.WaitReason.NO_CANDIDATE
        return step_progress.WaitReason.NO_CAPACITY
    advised = planning.advised_workers(step, candidates)
    sound, doubtful = _divide(planning, step, candidates, advised)
    if not sound and not doubtful:
        if _is_held_back(planning, step, candidates):
            return step_progress.WaitReason.HELD_BACK
        return planning_pass.unadvised_reason(step, candidates)
    reason = step_progress.WaitReason.NO_CAPACITY
    ends_s = planning.now + planning.times.quantile_s(step, _BACKFILL_SHARE)
    counts = _tasks_by_worker(step)
    stale: list[str] = []
    may_use_last = True
    for position in positions[:allowed]:
        capacity = _best_worker(planning, step, position, sound, counts, ends_s)
        is_last_resort = capacity is None
        if capacity is None and may_use_last:
            if planning.may_use_reserved(step):
                ends_s = planning_pass.IGNORES_RESERVATIONS
                capacity = _best_worker(
                    planning, step, position, sound, counts, ends_s
                )
            if capacity is None:
                capacity = _best_worker(
                    planning, step, position, doubtful, counts, ends_s
                )
                doubtful = [] if capacity is None else [capacity]
        if capacity is None:
            planning.request_more_advice(step)
            break
        ticket = planning.ticket(step, capacity)
        if ticket is None:
            stale.append(capacity.worker.worker_id)
        else:
            reason = step_progress.WaitReason.STARTING
            planning.place(step, position, capacity, ticket)
        # Also keeps capacity for a task that waits for its ticket.
        capacity.take(step.spec, ends_s)
        worker_id = capacity.worker.worker_id
        counts[worker_id] = counts.get(worker_id, 0) + 1
        # One run shows progress, unless each task has to.
        may_use_last = step.spec.is_long_running
        if is_last_resort and not may_use_last:
            break
    if stale and not step.is_advice_pending:
        planning.plan.advice.append((step, sorted(set(stale))))
    if reason is not step_progress.WaitReason.NO_CAPACITY:
        return reason
    if stale:
        return step_progress.WaitReason.TICKETS_MISSING
    if _is_held_back(planning, step, candidates):
        return step_progress.WaitReason.HELD_BACK
    return reason


def _is_held_back(
    planning: planning_pass.PlanningPass,
    step: step_progress.StepProgress,
    candidates: planning_pass.Candidates,
) -> bool:
    """Returns whether only reservations or quarantines keep a step waiting."""
    return planning.must_progress(step) and any(
        capacity.fits(step.spec, planning_pass.IGNORES_RESERVATIONS)
        for capacity in planning.allowed_workers(step, candidates)
    )


def _divide(
    planning: planning_pass.PlanningPass,
    step: step_progress.StepProgress,
    candidates: planning_pass.Candidates,
    advised: list[worker_capacity.WorkerCapacity],
) -> tuple[
    list[worker_capacity.WorkerCapacity], list[worker_capacity.WorkerCapacity]
]:
    """Divides workers into those to use first, and others of which one is used.

    The others have failed what they started, and have not proved to be sound
    since. Tasks that last are on one of them at a time, also after its
    quarantine; several tasks of a step may be there, if it is their only room.
    """
    doubtful = planning.released_workers(step, candidates)
    if not step.spec.is_long_running:
        return advised, doubtful
    now = planning.now
    sound: list[worker_capacity.WorkerCapacity] = []
    for capacity in advised:
        worker = capacity.worker
        is_doubtful = worker.is_quarantined and not worker.is_withheld(now)
        (doubtful if is_doubtful else sound).append(capacity)
    probed = {
        run.worker.worker_id
        for run in step.active.values()
        if run.worker.is_probe(run)
    }
    if probed:
        doubtful = [
            each for each in doubtful if each.worker.worker_id in probed
        ]
    return sound, doubtful


def _best_worker(
    planning: planning_pass.PlanningPass,
    step: step_progress.StepProgress,
    position: int,
    usable: list[worker_capacity.WorkerCapacity],
    counts: dict[str, int],
    ends_s: float,
) -> worker_capacity.WorkerCapacity | None:
    """Returns the worker with the lowest cost on which a task fits.

    Prefers workers that are in the rack of the data, are not reserved, have
    a ticket, are as fast as others, and on which no run of the task has failed
    or made no progress; among them the one with the fewest free cores. Of
    workers with equal cost, cold ones come last: steps are planned in the order
    of urgency, so that those with the longest slack are left with them.
    """
    spec = step.spec
    slow_downs = planning.slow_downs
    expected_s = planning.times.expected_s(step) if slow_downs else 0.0
    avoid = step.avoid.get(position, set())
    best: worker_capacity.WorkerCapacity | None = None
    best_cost = 0
    is_best_cold = False
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
        if worker_id in planning.reserved:
            cost += _RESERVED_COST
        if worker_id in avoid:
            cost += 2 * _OTHER_RACK_COST
        if planning.ticket(step, capacity) is None:
            cost += _OTHER_RACK_COST // 2
        if slow_downs and worker_id in slow_downs:
            cost += _speed_cost(expected_s, slow_downs[worker_id])
        is_better = best is None or cost < best_cost
        # The times of warm workers with equal cost are not looked up.
        if is_better or (
            is_best_cold
            and cost == best_cost
            and not capacity.worker.is_cold(planning.now)
        ):
            best, best_cost = capacity, cost
            is_best_cold = capacity.worker.is_cold(planning.now)
    return best


def _speed_cost(expected_s: float, slow_down: float) -> int:
    """Returns the cost of the time that a task takes longer on a worker.

    Args:
        expected_s: Expected run time on a usual worker, in seconds.
        slow_down: Factor on it; below 1 for a fast worker.
    """
    cost = _EXTRA_SECOND_COST * expected_s * (slow_down - 1)
    return int(min(_MAX_EXTRA_COST, max(-_MAX_EXTRA_COST, cost)))


def _tasks_by_worker(step: step_progress.StepProgress) -> dict[str, int]:
    """Returns the number of tasks of the step that each worker runs."""
    counts: dict[str, int] = {}
    for run in step.active.values():
        worker_id = run.worker.worker_id
        counts[worker_id] = counts.get(worker_id, 0) + 1
    return counts


def _below_task_limit(
    step: step_progress.StepProgress,
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
