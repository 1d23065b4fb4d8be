"""Steps for the order of work under overload."""

from __future__ import annotations

import json
from unittest import mock

from behave import given
from behave import then
from behave import when

from marigoldgap import clock
from marigoldgap import job_explanation
from marigoldgap import measures
from marigoldgap.cell import advice_dispatcher
from marigoldgap.cell import fair_shares
from marigoldgap.cell import former_leader
from marigoldgap.cell import job_tracker
from marigoldgap.cell import leadership
from marigoldgap.cell import model
from marigoldgap.cell import ports
from tests.features.steps import cell_planning_steps
from tests.fixtures import log_lines
from tests.fixtures import loops
from tests.fixtures import overload

# The time of a plan in the steps for planning.
_NOW_S = 100.0
_TASK_S = 5.0
# Beyond the end of the objective of the steps for planning, which is 10.5 s.
_LATE_S = 1.0
_EXPIRED_S = 30.0
_ADVICE = model.PlacementAdvice(11, 0, 1_500)


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


@given(
    "{count:d} waiting tasks of priority {priority:d} of a queue with the"
    " default objective"
)
def add_without_objective(context, count, priority):
    job = _wait(context, count, priority)
    job.queue = job.queue._replace(stretch=1.0, target_ms=0.0)
    job.objective_s = _TASK_S
    job.deadline_s = _NOW_S - _EXPIRED_S


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
        assert context.played.outcomes(kind.name, since_s), kind.name
        share = context.played.on_time(kind.name, since_s)
        assert 100 * share >= least, (kind.name, share)


@given("{count:d} waiting tasks with advice that {cause}")
def add_deferred(context, count, cause):
    # A worker has 4 cores.
    cores = 5 if cause == "fit on no worker" else 1
    for _ in range(count):
        step = cell_planning_steps.wait_with_advice(context, cores, _ADVICE)
        if cause.startswith("are late"):
            step.job.deadline_s = _NOW_S - _LATE_S
    context.latest = step


@given("afterwards a waiting task with advice that can start")
def add_startable(context):
    context.startable = cell_planning_steps.wait_with_advice(
        context, 1, _ADVICE
    )


class _RecordingProxy:
    """Answers each call in its turn and records the steps."""

    name = "only"

    def __init__(self):
        self.asked = []

    async def ask(self, step, workers, timeout_s):
        self.asked.append(step)
        return ports.Tickets(dict.fromkeys(workers, "t"), _ADVICE.valid_ms)


@when("a plan is made and one instance makes its calls")
def make_calls(context):
    cell_planning_steps.make_plan(context)
    context.proxy = _RecordingProxy()
    dispatcher = advice_dispatcher.AdviceDispatcher(
        lambda: [context.proxy], lambda step, workers: workers, lambda: None
    )
    steps = context.steps_waiting

    async def call():
        for step in steps:
            dispatcher.request(step, ["w7"])
        await loops.until(
            lambda: not any(step.is_advice_pending for step in steps)
        )

    loops.run(context, call())


@then("the call for the task that can start is number {count:d}")
def call_order(context, count):
    asked = context.proxy.asked
    assert len(asked) == len(context.steps_waiting), asked
    position = asked.index(context.startable.advice_name) + 1
    # The first call is sent before the others are requested.
    assert position == count, (position, asked)


@then("the calls for its tickets are deferred")
def is_deferred(context):
    assert context.latest.is_advice_deferred


@then("the calls for its tickets are not deferred")
def is_not_deferred(context):
    assert not context.latest.is_advice_deferred


@given("an accepted job {rate} the fair rate of its workspace")
def accept_job(context, rate):
    context.lines = log_lines.capture(context)
    queue = model.Queue(
        "late-queue", "h", "/", "claims", 1, 2, 1.0, 0, True, None
    )
    step = model.StepSpec(1, model.Demand(1000), estimate_ms=10_000)
    # A burst of at least one job is within the rate.
    workspace = model.Workspace("team", 0.1, model.Demand())
    configuration = model.Configuration(
        1, (queue,), {}, {"team": workspace}, model.RequestLimits(0, 0, 0, 0)
    )
    context.tracker = job_tracker.JobTracker(
        leadership.Leadership(1, mock.Mock(), None),
        lambda: configuration,
        {},
        former_leader.FormerLeader(former_leader.released(0.0), 0.0, 0),
    )
    names = ["a1"] if rate == "within" else ["a0", "a1"]
    for name in names:
        record = model.JobRecord(
            f"00000000000000{name}",
            queue,
            "team",
            clock.wall_ms(),
            model.JobSpec("", (step,)),
        )
        context.tracker.add(record, 1)
    context.job = context.tracker.jobs["00000000000000a1"]


def _completed(lateness, workspace_class):
    labels = {
        "queue": "late-queue",
        "lateness": lateness,
        "workspace_class": workspace_class,
    }
    name = "marigoldgap_completed_jobs_total"
    return measures.REGISTRY.get_sample_value(name, labels) or 0


@when("the job completes {late_s:d} s after its objective of 10 s")
def complete_late(context, late_s):
    context.job.deadline_s = clock.now_s() - late_s
    classes = ("within_rate", "above_rate")
    before = {
        (each, name): _completed(each, name)
        for each in ("on_time", "late", "expired")
        for name in classes
    }
    context.tracker.end(context.job, model.JobState.COMPLETED, "all tasks done")
    context.counted = [
        key for key, count in before.items() if _completed(*key) > count
    ]


@then("it is counted as {lateness} and {workspace_class}")
def is_counted(context, lateness, workspace_class):
    assert context.counted == [(lateness, workspace_class)], context.counted


@then('its explanation says "{text}"')
def is_explained(context, text):
    texts = [
        json.dumps({"time_ms": 1, "instance": "e1", "event": event, **fields})
        for event, fields in context.lines
    ]
    cause = job_explanation.explain(context.job.job_id, texts).cause
    assert text in cause, cause


@given(
    'workspaces "a" and "b" with rates of {first:d} and {second:d} jobs a second'
)
def create_workspaces(context, first, second):
    context.shares = fair_shares.FairShares()
    context.workspaces = {
        name: model.Workspace(name, rate, model.Demand())
        for name, rate in (("a", first), ("b", second))
    }
    context.now = 0.0


def _use(context, first, second, total, seconds):
    for _ in range(10 * seconds):
        usage = {"a": first, "b": second}
        context.shares.update(usage, total, context.workspaces, context.now)
        context.now += 0.1


@when(
    "they have used {first:d} and {second:d} of {total:d} cores for"
    " {seconds:d} s"
)
def use_cores(context, first, second, total, seconds):
    _use(context, [first, 0, 0], [second, 0, 0], [total, 100, 0], seconds)


@when(
    "the first has used {used:d} of {total:d} accelerators and the second"
    " {cores:d} of 100 cores"
)
def use_accelerators(context, used, total, cores):
    _use(context, [1, 0, used], [cores, 0, 0], [100, 100, total], 10)


@then("the levels of the workspaces are {first:d} {second:d}")
def check_levels(context, first, second):
    levels = [context.shares.level(name) for name in ("a", "b")]
    assert levels == [first, second], levels


@when(
    "{workers:d} workers play two workspaces with {factor:d} times the steps,"
    " with seed {seed:d}"
)
def play_busy(context, workers, factor, seed):
    context.played = overload.play(workers, seed, 1, factor, "steps")


@then("at least {least:d}% of the steps of the other workspaces are on time")
def others_on_time(context, least):
    others = set(overload.WORKSPACES) - set(overload.BUSY_WORKSPACES)
    share = context.played.on_time("steps", workspaces=others)
    assert 100 * share >= least, share


@then("at least {least:d}% of the steps of each other workspace are on time")
def each_other_on_time(context, least):
    others = set(overload.WORKSPACES) - set(overload.BUSY_WORKSPACES)
    shares = {
        name: context.played.on_time("steps", workspaces=(name,))
        for name in sorted(others)
    }
    assert 100 * min(shares.values()) >= least, shares


@then('the logged place in the order is "{lateness}" and above the fair rate')
def logged_order(context, lateness):
    lines = [fields for event, fields in context.log if event == "step_waiting"]
    assert lines
    for fields in lines:
        assert fields["lateness"] == lateness, fields
        assert fields["is_over_fair_rate"], fields
        assert fields["share_level"] == 0, fields
