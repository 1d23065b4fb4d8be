"""Steps for the evacuation of availability zones."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

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
