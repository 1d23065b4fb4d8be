"""Steps for workers that are quarantined after failed runs."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import model
from marigoldgap.cell import runs
from tests.features.steps import cell_planning_steps as planning

_NOW = 100.0
_CORES = 4
_JUST_BEFORE_S = 0.1
_JOBS = tuple(f"{number:016x}" for number in range(3))


def _begin(step, position, worker, began_s):
    """Starts a run of a task that is confirmed at once."""
    name = model.RunName(step.task(position), 1)
    run = runs.Run(name, step, worker, began_s)
    run.confirmed_s = began_s
    step.active[position] = run
    step.waiting.discard(position)
    worker.add(run)
    return run


@given("a worker that was quarantined 2 s ago")
def quarantined(context):
    planning.create_workers(context, 1, _CORES)
    (context.worker,) = context.fleet.values()
    for job_id in _JOBS:
        context.worker.record_failure(job_id, _NOW - 2)
    assert context.worker.accepts(_NOW)
    context.failed_s = _NOW


@when("{count:d} runs of its first probe fail")
def fail_together(context, count):
    for _ in range(count):
        context.worker.record_failure(_JOBS[0], _NOW)


@when("{count:d} probes fail one after the other")
def fail_in_turn(context, count):
    for _ in range(count):
        while not context.worker.accepts(context.failed_s):
            context.failed_s += _JUST_BEFORE_S
        context.worker.record_failure(_JOBS[0], context.failed_s)


@then("it gets no run for {seconds:d} s, and one after that")
def withheld_for(context, seconds):
    end_s = context.failed_s + seconds
    assert not context.worker.accepts(end_s - _JUST_BEFORE_S)
    assert context.worker.accepts(end_s + _JUST_BEFORE_S)


@given("the second worker is full")
def fill_second(context):
    for _ in range(_CORES):
        planning.run_on(context, context.fleet.values()[1])


@given("{count:d} quarantined workers and {full:d} full ones")
def several_quarantined(context, count, full):
    planning.create_workers(context, count + full, _CORES)
    workers = context.fleet.values()
    for worker in workers[:count]:
        for job_id in _JOBS:
            worker.record_failure(job_id, _NOW)
        # A probe withholds the worker after its pause.
        planning.run_on(context, worker)
    for worker in workers[count:]:
        for _ in range(_CORES):
            planning.run_on(context, worker)


@given("a waiting step of {count:d} tasks that last")
def waiting_lasting(context, count):
    context.step = planning.add_waiting(
        context, count, 1, max_per_worker=1, is_long_running=True
    )


@then("one of them starts on a quarantined worker")
def starts_on_doubtful(context):
    (placement,) = context.plan.placements
    assert placement.worker.is_quarantined
    context.run = _begin(
        placement.step,
        placement.position,
        placement.worker,
        context.planned_s,
    )


@when("it has been at work for {seconds:d} s")
def at_work(context, seconds):
    run = context.run
    run.worker.record_progress(run, run.confirmed_s + seconds)
    planning.plan_for(context, seconds, run.confirmed_s + seconds)


@then("one of them starts on another worker")
def starts_on_other(context):
    (placement,) = context.plan.placements
    assert placement.worker is not context.run.worker


@given("a task that lasts runs there since before")
def lasting_before(context):
    step = planning.add_waiting(context, 1, 1, is_long_running=True)
    context.run = _begin(step, 0, context.worker, _NOW - 10)


@then("the worker is quarantined")
def still_quarantined(context):
    assert context.worker.is_quarantined
