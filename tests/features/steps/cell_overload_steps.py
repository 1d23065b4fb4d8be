"""Steps for the order of work under overload."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from tests.features.steps import cell_planning_steps
from tests.fixtures import overload

# The time of a plan in the steps for planning.
_NOW_S = 100.0
_TASK_S = 5.0
# Beyond the end of the objective of the steps for planning, which is 10.5 s.
_LATE_S = 1.0
_EXPIRED_S = 30.0


def _wait(context, count, priority):
    context.latest = cell_planning_steps.add_waiting(
        context, count, 1, estimate_s=_TASK_S, priority=priority
    )
    return context.latest.job


@given("{count:d} waiting tasks of priority {priority:d} that can be on time")
def add_punctual(context, count, priority):
    _wait(context, count, priority)


@given("{count:d} waiting tasks of priority {priority:d} whose jobs are late")
def add_late(context, count, priority):
    _wait(context, count, priority).deadline_s = _NOW_S - _LATE_S


@given(
    "{count:d} waiting tasks of priority {priority:d} whose jobs have expired"
)
def add_expired(context, count, priority):
    _wait(context, count, priority).deadline_s = _NOW_S - _EXPIRED_S


@given("they are above the fair rate")
def exceed_rate(context):
    context.latest.job.is_over_fair_rate = True


@given(
    "{count:d} waiting tasks of priority {priority:d} with {slack_s:g} s of"
    " slack"
)
def add_tight(context, count, priority, slack_s):
    job = _wait(context, count + 1, priority)
    job.deadline_s = _NOW_S + _TASK_S + slack_s
    context.tight = context.latest
    context.tight.waiting.discard(count)


@given(
    "{count:d} waiting tasks of priority {priority:d} with an objective"
    " {slack_s:g} s above their run time"
)
def add_short(context, count, priority, slack_s):
    job = _wait(context, count, priority)
    job.objective_s = _TASK_S + slack_s
    job.deadline_s = _NOW_S + job.objective_s


@when("a plan is made after another task of the step has started")
def plan_after_start(context):
    cell_planning_steps.run_elsewhere(context, context.tight)
    cell_planning_steps.make_plan(context)


@then("only tasks of priority {priority:d} start")
def only_priority(context, priority):
    started = [each.step.job.queue.priority for each in context.plan.placements]
    assert started == [priority] * 4, started


@when("{workers:d} workers play 8 s of overload with seed {seed:d}")
def play(context, workers, seed):
    context.played = overload.play(workers, seed)


@then(
    "at least {checks:d}% of the checks, {gangs:d}% of the gangs and"
    " {steps:d}% of the steps are on time"
)
def shares_on_time(context, checks, gangs, steps):
    for name, least in (("checks", checks), ("gangs", gangs), ("steps", steps)):
        share = context.played.on_time(name)
        assert 100 * share >= least, (name, share)


@then("each workspace within its rate has at least {least:d}% on time")
def workspaces_on_time(context, least):
    share = context.played.worst_workspace()
    assert 100 * share >= least, share


@then(
    "from {seconds:d} s after the burst at least {least:d}% of each kind are"
    " on time"
)
def recovered(context, seconds, least):
    since_s = overload.BURST_UNTIL_S + seconds
    for kind in overload.KINDS:
        share = context.played.on_time(kind.name, since_s)
        assert 100 * share >= least, (kind.name, share)
