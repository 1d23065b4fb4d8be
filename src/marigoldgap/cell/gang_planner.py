"""Places gangs in a planning pass, reserves capacity and keeps their tickets."""

from __future__ import annotations

from marigoldgap.cell import planning_pass
from marigoldgap.cell import step_progress
from marigoldgap.cell import worker_capacity

# Maximum number of gangs with a reservation; others wait without one.
_MAX_RESERVING_GANGS = 8
# Pause before a gang that does not fit and has no reservation is examined again,
# and maximum number of gangs that are examined in one plan.
_EXAMINE_PAUSE_S = 0.5
_MAX_EXAMINED_GANGS = 32
# A gang that is expected to fit within this time renews its tickets.
_TICKET_LEAD_S = 2.5
# Maximum number of workers for which a waiting gang renews tickets, unless it
# has reserved more.
_MAX_GANG_TICKETS = 40


class GangPlanner:
    """Plans the gangs of one pass.

    Args:
        planning: The pass.
    """

    def __init__(self, planning: planning_pass.PlanningPass) -> None:
        self._pass = planning
        self._reserving_gangs = 0
        self._examined_gangs = 0

    def plan(
        self, step: step_progress.StepProgress
    ) -> step_progress.WaitReason:
        """Plans the members of a gang.

        Returns:
            Why they wait, if none of them starts.
        """
        spec = step.spec
        if step.active or len(step.waiting) < spec.task_count:
            return step_progress.WaitReason.MEMBERS_ACTIVE
        candidates = self._pass.candidates(step)
        advised = self._pass.advised_workers(step, candidates)
        if not advised and not self._pass.may_use_reserved(step):
            if self._is_held_back(step):
                return step_progress.WaitReason.HELD_BACK
            return planning_pass.unadvised_reason(step, candidates)
        if self._pass.allowed_tasks(step) < spec.task_count:
            return step_progress.WaitReason.WORKSPACE_LIMIT
        ends_s = self._pass.now + self._pass.times.expected_s(step)
        if self._pass.may_use_reserved(step):
            ends_s = planning_pass.IGNORES_RESERVATIONS
            if self._fit_gang_now(step, advised, ends_s) is None:
                advised = self._with_released(step, candidates, advised)
        advised = self._without_avoided(step, advised, ends_s)
        ticketed = [
            capacity
            for capacity in advised
            if self._pass.ticket(step, capacity) is not None
        ]
        chosen = self._fit_gang_now(step, ticketed, ends_s)
        if chosen is not None:
            self._place_gang(step, chosen, ends_s)
            return step_progress.WaitReason.STARTING
        if (
            self._pass.now < step.examine_after_s
            or self._examined_gangs >= _MAX_EXAMINED_GANGS
        ):
            return step.wait_reason
        self._examined_gangs += 1
        return self._prepare_gang(step, advised, ends_s)

    def _with_released(
        self,
        step: step_progress.StepProgress,
        candidates: planning_pass.Candidates,
        advised: list[worker_capacity.WorkerCapacity],
    ) -> list[worker_capacity.WorkerCapacity]:
        """Adds the workers that a gang without room on others may use."""
        used = set(map(id, advised))
        released = self._pass.released_workers(step, candidates)
        return [*advised, *(each for each in released if id(each) not in used)]

    def _without_avoided(
        self,
        step: step_progress.StepProgress,
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
        step: step_progress.StepProgress,
        advised: list[worker_capacity.WorkerCapacity],
        ends_s: float,
    ) -> step_progress.WaitReason:
        """Requests tickets and reserves capacity for a gang that waits."""
        has_reservation = self._reserving_gangs < _MAX_RESERVING_GANGS
        chosen = self._fit_gang_now(step, advised, ends_s)
        if chosen is None:
            self._pass.request_more_advice(step)
            return self._reserve_later(step, advised, has_reservation)
        if has_reservation:
            self._reserving_gangs += 1
            for capacity, count in chosen:
                capacity.reserve(
                    step.spec, count, self._pass.now, list(capacity.free)
                )
        self._renew_tickets(step, [capacity for capacity, _ in chosen], advised)
        return step_progress.WaitReason.TICKETS_MISSING

    def _reserve_later(
        self,
        step: step_progress.StepProgress,
        advised: list[worker_capacity.WorkerCapacity],
        has_reservation: bool,
    ) -> step_progress.WaitReason:
        """Reserves capacity for a gang that does not fit now."""
        reason = step_progress.WaitReason.NO_CAPACITY
        if self._is_held_back(step):
            reason = step_progress.WaitReason.HELD_BACK
        elif not has_reservation:
            reason = step_progress.WaitReason.NO_RESERVATION
        at = float("inf")
        kept: list[worker_capacity.WorkerCapacity] = []
        if has_reservation:
            at, kept = self._reserve_gang(step, advised)
        if not kept:
            step.examine_after_s = self._pass.now + _EXAMINE_PAUSE_S
            return reason
        self._reserving_gangs += 1
        if at - self._pass.now <= _TICKET_LEAD_S:
            self._renew_tickets(step, kept, advised)
        return reason

    def _is_held_back(self, step: step_progress.StepProgress) -> bool:
        """Returns whether only reservations or quarantines keep a gang waiting."""
        allowed = self._pass.allowed_workers(step, self._pass.candidates(step))
        return (
            self._pass.must_progress(step)
            and self._fit_gang_now(
                step, allowed, planning_pass.IGNORES_RESERVATIONS
            )
            is not None
        )

    def _place_gang(
        self,
        step: step_progress.StepProgress,
        chosen: list[tuple[worker_capacity.WorkerCapacity, int]],
        ends_s: float,
    ) -> None:
        position = 0
        for capacity, count in chosen:
            ticket = self._pass.ticket(step, capacity) or ""
            for _ in range(count):
                capacity.take(step.spec, ends_s)
                self._pass.place(step, position, capacity, ticket)
                position += 1

    def _fit_gang_now(
        self,
        step: step_progress.StepProgress,
        usable: list[worker_capacity.WorkerCapacity],
        ends_s: float,
    ) -> list[tuple[worker_capacity.WorkerCapacity, int]] | None:
        """Returns workers on which all members fit now, or None."""
        spec = step.spec
        bound = spec.max_per_worker or spec.task_count
        found: list[tuple[worker_capacity.WorkerCapacity, int]] = []
        for capacity in usable:
            copies = capacity.copies(spec, bound)
            if (
                capacity.unreserved is not None
                and ends_s > capacity.reserved_from_s
            ):
                copies = min(
                    copies,
                    worker_capacity.copies_in(capacity.unreserved, spec, bound),
                )
            if copies:
                found.append((capacity, copies))
        return worker_capacity.choose_workers(step, found, self._pass.now)

    def _renew_tickets(
        self,
        step: step_progress.StepProgress,
        reserved: list[worker_capacity.WorkerCapacity],
        advised: list[worker_capacity.WorkerCapacity],
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
        renew_from = self._pass.now + planning_pass.TICKET_MARGIN_S + call_s
        if any(
            step.tickets.get(capacity.worker.worker_id, ("", 0.0))[1]
            < renew_from
            for capacity in kept
        ):
            self._pass.plan.advice.append(
                (step, [capacity.worker.worker_id for capacity in kept])
            )

    def _reserve_gang(
        self,
        step: step_progress.StepProgress,
        usable: list[worker_capacity.WorkerCapacity],
    ) -> tuple[float, list[worker_capacity.WorkerCapacity]]:
        """Reserves capacity where the gang is expected to fit first.

        Returns:
            The time at which it is expected to fit, infinite if unknown, and
            the reserved workers.
        """
        found = worker_capacity.earliest_fit(
            step, usable, self._pass.now, self._pass.times
        )
        if found is None:
            return float("inf"), []
        at, chosen = found
        for capacity, count in chosen:
            capacity.reserve(
                step.spec,
                count,
                at,
                capacity.free_at(at, self._pass.now, self._pass.times),
            )
        return at, [capacity for capacity, _ in chosen]
