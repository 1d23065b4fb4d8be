"""Chooses less urgent runs to stop so that a gang starts in time.

Only runs that save their progress are stopped: they go on from there later, so
that little work is lost.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from marigoldgap.cell import jobs
from marigoldgap.cell import model
from marigoldgap.cell import rooms
from marigoldgap.cell import run_times

# A run that ends by itself within this time is not stopped: stopping takes up
# to 0.9 s (`stopMs` of the platform).
_MIN_REMAINING_S = 1.2
# Time that a stopped run needs to wait for room again and to restore.
_RESTART_S = 2.0


class Choice(NamedTuple):
    """What a worker contributes to a gang.

    Attributes:
        room: The worker's room.
        members: Members that it will hold.
        stopped: Runs to stop for them.
    """

    room: rooms.Room
    members: int
    stopped: tuple[jobs.Run, ...]


class _Offer(NamedTuple):
    """Further members that a worker can hold; sorts by the cost of one."""

    cost: float
    number: int
    gained: int
    stopped: int


def choose(
    step: jobs.StepProgress,
    usable: list[rooms.Room],
    now: float,
    times: run_times.RunTimes,
) -> list[Choice] | None:
    """Returns where a gang fits if some runs are stopped, or None.

    Args:
        step: The gang.
        usable: Rooms of the workers that it may use.
        now: Current time.
        times: Learned run times.
    """
    spec = step.spec
    bound = spec.max_per_worker or spec.task_count
    if spec.same_rack:
        return None
    # A worker that is reserved already does not serve a second gang.
    candidates = [room for room in usable if room.spare is None]
    stoppable = [_stoppable(room, step, now, times) for room in candidates]
    held = [room.copies(spec.demand, bound) for room in candidates]
    stopped = [0] * len(candidates)
    needed = spec.task_count - sum(held)
    offers = [
        offer
        for number, room in enumerate(candidates)
        if (offer := _offer(number, room, stoppable[number], 0, spec, bound))
    ]
    heapq.heapify(offers)
    while needed > 0 and offers:
        offer = heapq.heappop(offers)
        number = offer.number
        needed -= offer.gained
        held[number] += offer.gained
        stopped[number] = offer.stopped
        further = _offer(
            number,
            candidates[number],
            stoppable[number],
            offer.stopped,
            spec,
            bound,
        )
        if further is not None:
            heapq.heappush(offers, further)
    if needed > 0:
        return None
    return _trim(spec.task_count, candidates, held, stoppable, stopped)


def _stoppable(
    room: rooms.Room,
    step: jobs.StepProgress,
    now: float,
    times: run_times.RunTimes,
) -> list[jobs.Run]:
    """Returns the runs that may be stopped, the least urgent first."""
    found = [
        run
        for run in room.worker.runs.values()
        if run.state is jobs.RunState.RUNNING
        and run.step.spec.checkpoints
        and not run.step.spec.is_gang
        and not run.step.spec.is_long_running
        and run.step.job.queue.priority > step.job.queue.priority
        and _can_wait(run, now, times)
    ]
    return sorted(found, key=lambda run: -run.step.deadline_s)


def _can_wait(run: jobs.Run, now: float, times: run_times.RunTimes) -> bool:
    """Whether stopping the run frees room early and does not make it late."""
    remaining_s = run.remaining_s(now, times.expected_s(run.step))
    if remaining_s < _MIN_REMAINING_S:
        return False
    if run.step.lateness(now) is not jobs.Lateness.ON_TIME:
        return True
    return now + remaining_s + _RESTART_S < run.step.deadline_s


def _offer(
    number: int,
    room: rooms.Room,
    stoppable: list[jobs.Run],
    stopped: int,
    spec: model.StepSpec,
    bound: int,
) -> _Offer | None:
    """Returns the next members that the worker can hold by stopping more."""
    free = list(room.free)
    for run in stoppable[:stopped]:
        rooms.release(free, run.step.spec)
    held = rooms.copies_in(free, spec.demand, bound)
    cost = 0
    for position, run in enumerate(stoppable[stopped:], stopped + 1):
        rooms.release(free, run.step.spec)
        cost += run.step.spec.demand.millicores
        gained = rooms.copies_in(free, spec.demand, bound) - held
        if gained > 0:
            return _Offer(cost / gained, number, gained, position)
    return None


def _trim(
    needed: int,
    candidates: list[rooms.Room],
    held: list[int],
    stoppable: list[list[jobs.Run]],
    stopped: list[int],
) -> list[Choice]:
    """Takes the members from workers with stopped runs first."""
    order = sorted(
        range(len(candidates)),
        key=lambda number: (-stopped[number], -held[number]),
    )
    choices = []
    for number in order:
        count = min(held[number], needed)
        if count <= 0:
            continue
        needed -= count
        runs = tuple(stoppable[number][: stopped[number]])
        choices.append(Choice(candidates[number], count, runs))
    return choices
