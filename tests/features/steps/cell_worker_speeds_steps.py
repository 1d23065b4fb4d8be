"""Steps for the speeds of workers and the choice among them."""

from __future__ import annotations

import random
import tracemalloc

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import planner
from marigoldgap.cell import planning_pass
from marigoldgap.cell import run_times
from marigoldgap.cell import worker_speeds
from tests.features.steps import cell_run_times_steps

_NOW = 100.0
_CORE = 1000


@given('{count:d} usual workers, of which "{name}" has the fewest free cores')
def create_workers(context, count, name):
    context.times = run_times.RunTimes()
    context.fleet = fleet.Fleet()
    context.avoided = set()
    for number in range(count):
        worker_id = f"w{number}"
        cores = 4 if worker_id == name else 6
        registration = model.Registration(
            worker_id,
            "s",
            "127.0.0.1:1",
            "a",
            False,
            model.Demand(cores * _CORE, 65536, 0),
            frozenset(),
            "",
            0,
        )
        worker = fleet.Worker(registration, _NOW)
        worker.contact = fleet.Contact.ANSWERING
        worker.is_rostered = True
        context.fleet.add(worker)


def _finish(context, worker_id, seconds):
    step = cell_run_times_steps.create_step(4)
    cell_run_times_steps.finish(context.times, step, seconds, worker_id)


@given("the runs of a step take {seconds:g} s")
def usual_runs(context, seconds):
    for _ in range(8):
        finish_on_all(context, 1, seconds)


@when("{count:d} runs on every worker take {seconds:g} s each")
def finish_on_all(context, count, seconds):
    for _ in range(count):
        for worker in context.fleet.values():
            _finish(context, worker.worker_id, seconds)


@when(
    '{count:d} runs on "{name}" take {slow:g} s each and the others {usual:g} s'
)
def slow_runs(context, count, name, slow, usual):
    for _ in range(count):
        for worker in context.fleet.values():
            is_slow = worker.worker_id == name
            _finish(context, worker.worker_id, slow if is_slow else usual)


@when("the other workers are full")
def fill_others(context):
    for worker in context.fleet.values()[1:]:
        worker.used[0] = worker.registration.capacity.millicores


@when("the task avoids all other workers")
def avoid_others(context):
    context.avoided = {
        worker.worker_id for worker in context.fleet.values()[1:]
    }


@when("a task of {seconds:g} s is planned")
def plan_now(context, seconds):
    plan_later(context, seconds, 0)


@when("a task of {seconds:g} s is planned {later:g} s later")
def plan_later(context, seconds, later):
    step = cell_run_times_steps.create_step(seconds)
    for worker_id in context.avoided:
        step.avoid_worker(0, worker_id)
    plan = planner.Planner(context.fleet, context.times).plan(
        [step], {}, {}, _NOW + later
    )
    [context.placement] = plan.placements


@then('it starts on "{name}"')
def starts_on(context, name):
    found = context.placement.worker.worker_id
    assert found == name, found


@then('it starts on another worker than "{name}"')
def starts_elsewhere(context, name):
    found = context.placement.worker.worker_id
    assert found != name, found


@then("at most {count:d} workers count as slow")
def few_slow(context, count):
    found = planning_pass.PlanningPass(
        context.fleet, context.times, {}, {}, frozenset(), _NOW, frozenset()
    ).slow_downs
    slow = [factor for factor in found.values() if factor > 1]
    assert len(slow) <= count, found


@given("{count:d} workers whose runs have a log error of {error:g}")
def noisy_workers(context, count, error):
    draw = random.Random(1)
    context.speeds = worker_speeds.WorkerSpeeds()
    context.worker_count = count
    for _ in range(10):
        for number in range(count):
            context.speeds.record(
                f"w{number}", 0, draw.gauss(0, error), error, _NOW
            )


@then("at most {percent:d} percent of the workers count as slow or fast")
def few_deviate(context, percent):
    found = len(context.speeds.deviating(_NOW))
    assert 100 * found <= percent * context.worker_count, found


@when('the process of "{name}" is replaced')
def replace_process(context, name):
    context.fleet.get(name).born_ms = 1


@when("{count:d} workers have finished runs")
def large_fleet(context, count):
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        context.speeds = worker_speeds.WorkerSpeeds()
        for number in range(count):
            for residual in (0.1, 0.9, 0.8):
                context.speeds.record(
                    f"worker-{number}", 1, residual + number % 2, 0.2, _NOW
                )
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    context.bytes = after - before


@then("the speeds of {count:d} workers are kept in at most {limit:d} MB")
def speeds_kept(context, count, limit):
    assert len(context.speeds) == count, len(context.speeds)
    assert context.bytes <= limit * 1e6, context.bytes
    print(f"{context.bytes / count:.0f} bytes for each worker")
