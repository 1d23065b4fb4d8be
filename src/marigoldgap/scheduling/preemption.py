"""Chooses running tasks to preempt by checkpoint for an urgent task."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources

# The work lost by preempting a task that was never checkpointed is not exactly
# known, so each task costs at least this much.
_MIN_COST_MS = 1


class Victim(NamedTuple):
    """A running task that is a candidate for preemption.

    Attributes:
        checkpointable: Whether the task can resume from a checkpoint; other
            tasks are never chosen.
        lost_ms: Run time since the last checkpoint plus the time to restore it,
            in milliseconds.
    """

    task: model.RunningTask
    checkpointable: bool
    lost_ms: int
    urgent: bool = False


class Preemption(NamedTuple):
    """Tasks to checkpoint on one worker.

    Attributes:
        cost_ms: Lost work in slot-milliseconds.
    """

    worker_id: str
    task_ids: tuple[str, ...]
    cost_ms: int


def choose_victims(
    urgent: model.TaskSpec,
    free: Mapping[str, model.Resources],
    victims: Mapping[str, Collection[Victim]],
    excess: Mapping[str, float],
) -> Preemption | None:
    """Returns the cheapest set of tasks on one worker to preempt, or None.

    Teams above their share come first: a task of a team within its share is
    chosen only if on no worker the tasks of teams above their share suffice.
    Urgent tasks and tasks that cannot be checkpointed are never chosen.

    Args:
        urgent: The task that needs the resources.
        free: Free resources of the candidate workers.
        victims: Running tasks of the candidate workers. The caller passes a
            bounded number of workers, not the whole fleet.
        excess: Usage minus share of each team; positive if above the share.
    """
    above = _cheapest(urgent, free, victims, excess, only_above=True)
    return above or _cheapest(urgent, free, victims, excess, only_above=False)


def _cheapest(
    urgent: model.TaskSpec,
    free: Mapping[str, model.Resources],
    victims: Mapping[str, Collection[Victim]],
    excess: Mapping[str, float],
    only_above: bool,
) -> Preemption | None:
    found = []
    for worker_id, available in free.items():
        allowed = [
            victim
            for victim in victims.get(worker_id, ())
            if victim.checkpointable
            and not victim.urgent
            and (not only_above or excess.get(victim.task.team, 0.0) > 0)
        ]
        plan = _plan_on_worker(
            worker_id, urgent.resources, available, allowed, excess
        )
        if plan is not None:
            found.append(plan)
    return min(
        found,
        key=lambda plan: (plan.cost_ms, len(plan.task_ids), plan.worker_id),
        default=None,
    )


def _plan_on_worker(
    worker_id: str,
    needed: model.Resources,
    available: model.Resources,
    allowed: Iterable[Victim],
    excess: Mapping[str, float],
) -> Preemption | None:
    """Adds the cheapest victims until the task fits; drops unneeded ones."""
    ordered = sorted(allowed, key=lambda victim: _rank(victim, excess))
    taken: list[Victim] = []
    for victim in ordered:
        if resources.fits_in(needed, available):
            break
        if not _frees_needed(victim.task.resources, needed, available):
            continue
        taken.append(victim)
        available = resources.add(available, victim.task.resources)
    if not resources.fits_in(needed, available):
        return None
    for victim in sorted(taken, key=_cost, reverse=True):
        without = resources.subtract(available, victim.task.resources)
        if resources.fits_in(needed, without):
            taken.remove(victim)
            available = without
    return Preemption(
        worker_id,
        tuple(victim.task.task_id for victim in taken),
        sum(_cost(victim) for victim in taken),
    )


def _frees_needed(
    gained: model.Resources, needed: model.Resources, available: model.Resources
) -> bool:
    return any(
        gain > 0 and need > have
        for gain, need, have in zip(gained, needed, available, strict=True)
    )


def _cost(victim: Victim) -> int:
    lost = max(_MIN_COST_MS, victim.lost_ms)
    return lost * max(1, victim.task.resources.slots)


def _rank(
    victim: Victim, excess: Mapping[str, float]
) -> tuple[bool, int, float, str]:
    over = excess.get(victim.task.team, 0.0)
    return over <= 0, _cost(victim), -over, victim.task.task_id
