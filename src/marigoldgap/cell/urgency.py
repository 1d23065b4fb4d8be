"""Decides the order in which waiting steps are planned and get tickets.

Designed for minutes in which several times the work of the cell is offered. A
key takes constant time; the planner computes one for each step and pass.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.cell import step_progress

# A step without runs counts as on time only if this share of its chain is left
# beyond the chain itself: by deadline alone, each step under overload starts
# when nothing is left, and ends late as soon as its run time is exceeded or it
# waits for a worker. Of 0, 0.1, 0.25 and 0.5, trials with run times of up to 1.2
# of the declared ones had 0.25 best for gangs, and 0.5 best for single tasks.
_MARGIN_SHARE = 0.25
# Largest share of the slack of a new job that the margin takes, so that jobs
# with a short objective do not count as late from the beginning.
_MAX_SLACK_SHARE = 0.5


class Urgency(NamedTuple):
    """Sort key of a step; lower ones are planned first.

    Attributes:
        lateness: Whether the job can be on time. Expired work is last, since
            its results earn nothing.
        is_over_fair_rate: Whether the job is above its workspace's fair rate.
        priority: Priority of its queue; 0 is the most urgent.
        share_level: How far its workspace is above its share of the cell; 0 for
            gangs, which lose their reservations if they change places.
        deadline_s: Monotonic time at which its objective ends.
    """

    lateness: step_progress.Lateness
    is_over_fair_rate: bool
    priority: int
    share_level: int
    deadline_s: float


def urgency(
    step: step_progress.StepProgress, share_level: int, now: float
) -> Urgency:
    """Returns the sort key of a step.

    Args:
        step: The step.
        share_level: How far its workspace is above its share of the cell.
        now: Current monotonic time in seconds.
    """
    job = step.job
    return Urgency(
        _lateness(step, now),
        job.is_over_fair_rate,
        job.queue.priority,
        0 if step.spec.is_gang else share_level,
        step.deadline_s,
    )


def is_advice_deferred(
    step: step_progress.StepProgress,
    has_room: bool,
    is_fleet_idle: bool,
) -> bool:
    """Returns whether calls for the tickets of a step come after others.

    An instance makes one call at a time, of up to 0.9 s, and a ticket is valid
    for about 1.5 s: a call for a step that cannot start by then only delays
    those that can. Nothing is deferred while the fleet is idle, since a step
    that could run must not wait there. A gang needs to be advised before it
    can reserve capacity, so it is deferred only if others have all
    reservations.

    Args:
        step: The step, with its sort key and wait reason by the current plan.
        has_room: Whether a task of it fits on a worker that it may ask about.
        is_fleet_idle: Whether less than half of the cores of its service are
            in use.
    """
    if is_fleet_idle:
        return False
    key = step.urgency
    if key and key.lateness is not step_progress.Lateness.ON_TIME:
        return True
    if step.spec.is_gang:
        return step.wait_reason is step_progress.WaitReason.NO_RESERVATION
    return not has_room


def _lateness(
    step: step_progress.StepProgress, now: float
) -> step_progress.Lateness:
    """Returns whether a step can be on time, with a margin before it starts.

    A step that has runs needs no margin: the work that is done for it would be
    lost if the others of its tasks came last.
    """
    queue = step.job.queue
    if not queue.target_ms and queue.stretch <= 1:
        # The objective leaves no time to wait, so that no job could be on time.
        return step_progress.Lateness.ON_TIME
    lateness = step.lateness(now)
    if lateness is not step_progress.Lateness.ON_TIME or step.active:
        return lateness
    slack_s = max(0.0, step.job.objective_s - step.chain_s)
    margin_s = min(_MARGIN_SHARE * step.chain_s, _MAX_SLACK_SHARE * slack_s)
    return step.lateness(now + margin_s)
