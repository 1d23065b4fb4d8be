"""Steps for the evacuation of availability zones."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import advice_targets
from marigoldgap.cell import model
from marigoldgap.cell import planner
from marigoldgap.cell import run_times
from marigoldgap.cell import step_progress
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops


def _row(zone):
    return "op", "", f"evacuate/{zone}"


@given(
    'a cell with a worker in each of the zones "{zones}" and {instances:d}'
    " instances"
)
def create_cell(context, zones, instances):
    context.job = cell_jobs.JOB
    names = tuple(zones.split())
    cell_world.start(context, len(names), instances, zones=names)


@given("{count:d} other rows before those of evacuations")
def add_rows(context, count):
    for number in range(count):
        context.world.store.put("op", "", f"d{number}", b"{}")


@when('the operator evacuates zone "{zone}"')
@when('the operator evacuates zone ""')
def evacuate(context, zone=""):
    context.world.store.put(*_row(zone), b"{}")


@when('the operator evacuates zone "{zone}" with malformed content')
def evacuate_malformed(context, zone):
    context.world.store.put(*_row(zone), b"\xff[")


@when('the operator ends the evacuation of zone "{zone}"')
def end_evacuation(context, zone):
    context.world.store.drop(*_row(zone))


@when('the evacuation of zone "{zone}" ends and the store forgets its history')
def end_unnoticed(context, zone):
    context.world.store.rows.pop(_row(zone))
    context.world.store.version += 1
    context.world.store.forget_history()


@when("all instances are replaced by {count:d} new ones")
def replace_instances(context, count):
    async def replace():
        for instance in context.world.instances:
            instance.abort()
            instance.serving.cancel()
        context.world.instances.clear()
        for number in range(count):
            await context.world.add_instance(f"n{number}")
        await loops.until(lambda: context.world.schedulers)

    loops.run(context, replace())


def _wait_until_known(context, zones):
    def is_known():
        return all(
            instance._configuration.evacuated_zones == zones
            for instance in context.world.instances
        )

    loops.run(context, loops.until(is_known))


@then('every instance knows the evacuated zones "{zones}"')
@then('every instance knows the evacuated zones ""')
def all_know(context, zones=""):
    _wait_until_known(context, frozenset(zones.split()))


@when("{count:d} tasks are submitted to the cell")
def submit(context, count):
    context.begun_before = _starts(context)
    cell_jobs.submit_tasks(context, count)


def _starts(context):
    """Returns zone and name of the task of each start, in order of time."""
    zones = {each.worker_id: each.zone for each in context.world.workers}
    return [
        (zones[event.worker_id], event.task)
        for event in cell_jobs.history(context)
        if event.what == "started"
    ]


def _later_starts(context, zone):
    """Returns the tasks that have started in a zone since the submission."""
    begun = _starts(context)[len(context.begun_before) :]
    return [task for each, task in begun if each == zone]


@then('the job is completed and nothing started in zone "{zone}"')
def completed_elsewhere(context, zone):
    cell_jobs.wait_everywhere(context, "completed")
    assert not _later_starts(context, zone), _starts(context)
    cell_jobs.check_no_violations(context)


@then('tasks started in zone "{zone}"')
def started_in(context, zone):
    loops.run(context, loops.until(lambda: _later_starts(context, zone)))


_EVACUATED = frozenset({"evacuated"})


def _is_evacuated(worker):
    return worker.registration.zone in _EVACUATED


@given("the first {count:d} workers are in the evacuated zone")
@when("the first {count:d} workers are in the evacuated zone")
def place_in_zone(context, count):
    for worker in context.fleet.values()[:count]:
        worker.registration = worker.registration._replace(zone="evacuated")


@given("the capacity of the last worker shrinks to {cores:d} cores")
def shrink_last(context, cores):
    worker = context.fleet.values()[-1]
    capacity = model.Demand(1000 * cores, 65536, 0)
    worker.registration = worker.registration._replace(capacity=capacity)


@given("a waiting {kind} of {cores:d} cores")
def add_waiting(context, kind, cores):
    if kind == "gang":
        context.execute_steps(
            f"Given a waiting gang of 2 members of {cores} core"
        )
    elif kind == "lone task":
        context.execute_steps(
            "Given a waiting task of 1 core under which 2 workers have crashed"
        )
    else:
        context.execute_steps("Given a waiting gang of 1 members of 1 core")
        step = context.steps_waiting[-1]
        demand = model.Demand(1000 * cores, 100)
        step.spec = step.spec._replace(is_gang=False, demand=demand)


@when("a plan is made during the evacuation")
def plan_evacuated(context):
    plans = planner.Planner(context.fleet, run_times.RunTimes())
    now = 100.0
    context.plan = plans.plan(
        context.steps_waiting, {}, {}, now, evacuated=_EVACUATED
    )
    context.reserved = plans._reserved


@then("{count:d} tasks start, none of them in the evacuated zone")
def placed_elsewhere(context, count):
    placed = context.plan.placements
    assert len(placed) == count, placed
    assert not any(_is_evacuated(each.worker) for each in placed), placed


@then("the plan requests advice on workers, none in the evacuated zone")
def advice_elsewhere(context):
    asked = [name for _, names in context.plan.advice for name in names]
    assert asked
    assert not any(_is_evacuated(context.fleet.get(name)) for name in asked)


@then("the gang holds reservations on {count:d} workers")
def reserved_on(context, count):
    reserved = _reserved(context)
    assert len(reserved) == count, reserved


@then("the gang holds no reservation")
def none_reserved(context):
    assert not context.reserved, context.reserved


@then(
    "the gang holds reservations on {count:d} workers, none in the evacuated"
    " zone"
)
def reserved_elsewhere(context, count):
    reserved_on(context, count)
    for name in context.reserved:
        assert not _is_evacuated(context.fleet.get(name)), context.reserved


def _reserved(context):
    if not hasattr(context, "reserved"):
        plans = planner.Planner(context.fleet, run_times.RunTimes())
        plans.plan(context.steps_waiting, {}, {}, 100.0)
        return plans._reserved
    return context.reserved


@then(
    "a call of that plan asks about {count:d} workers, none in the evacuated"
    " zone"
)
def call_elsewhere(context, count):
    ((step, requested),) = context.plan.advice
    assert any(_is_evacuated(context.fleet.get(name)) for name in requested)
    chosen = advice_targets.choose(
        step, requested, context.fleet, 100.0, _EVACUATED
    )
    assert len(chosen) == count, chosen
    assert not any(_is_evacuated(context.fleet.get(name)) for name in chosen)


@then("its wait reason is {name}")
def waits_as(context, name):
    (step,) = context.steps_waiting
    assert step.wait_reason is step_progress.WaitReason[name], step.wait_reason
