"""Steps for the upper limits of workspaces while runs or limits are unknown."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import inherited_usage
from marigoldgap.cell import model
from marigoldgap.cell import records
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops


@when(
    "that worker falls silent and its capacity shrinks to {millicores:d}"
    " millicores"
)
def silent_and_shrunk(context, millicores):
    silent = next(each for each in context.world.workers if each.running)
    silent._is_silent = True
    silent.change_capacity(cpu=millicores)


@when("the capacity of its worker grows to {millicores:d} millicores")
def grow_capacity(context, millicores):
    context.world.workers[0].change_capacity(cpu=millicores)


@then(
    "the stored roster has {millicores:d} millicores before the worker accepts"
    " tasks"
)
def roster_has_capacity(context, millicores):
    (worker,) = context.world.workers
    (scheduler,) = context.world.schedulers
    known = scheduler.worker_tracker.workers.get(worker.worker_id)
    row_key = records.roster_row_key(worker.worker_id)

    def is_used():
        capacity = known.registration.capacity
        return capacity.millicores == millicores and known.accepts(1e12)

    loops.run(context, loops.until(is_used))
    row = records.decode_worker(context.world.store.value(*row_key))
    assert row.capacity.millicores == millicores, row


@given(
    "{count:d} tasks with {millicores:d} millicores that use idle cores only may"
    " run"
)
def idle_only_tasks(context, count, millicores):
    spec = model.StepSpec(count, model.Demand(millicores), uses_idle_only=True)
    context.possible = [inherited_usage.PossibleRuns("team", spec, count)]


@when("the worker with {millicores:d} millicores that may have them is silent")
def bound_unknown(context, millicores):
    context.usage = inherited_usage.unknown_usage(
        [model.Demand(millicores)], context.possible
    )


@then("the unknown usage of their workspace is {millicores:d} millicores")
def unknown_is(context, millicores):
    assert context.usage["team"][0] == millicores, context.usage


@when("the leader stores no progress any more")
def lose_progress(context):
    journal = context.world.leader().scheduler.leadership.journal
    schedule = journal.schedule_write

    def schedule_others(row_key, encode):
        if row_key.table != records.PROGRESS:
            schedule(row_key, encode)

    journal.schedule_write = schedule_others
    # Ends of runs are not acknowledged before they are stored.
    journal.flushed = asyncio.Future


@when(
    "the second step of a job of {tasks:d} tasks with {millicores:d} millicores"
    " has begun"
)
def second_step_begun(context, tasks, millicores):
    step = {"count": 1, "cpu": 100, "memMb": 100, "estimateMs": 50}
    second = {**step, "count": tasks, "cpu": millicores, "after": [0]}
    # Tasks of both steps have the same payload.
    body = {"spec": f"ms=3000 cpu={millicores}", "steps": [step, second]}
    status, _ = cell_jobs.submit(context, body)
    assert status == 200, status
    loops.run(
        context,
        loops.until(lambda: len(context.world.fleet_runs) == tasks),
    )


@when("its worker falls silent")
def workers_silent(context):
    for worker in context.world.workers:
        if worker.running:
            worker._is_silent = True


@when("the leader ends and another instance leads")
def leader_replaced(context):
    former = context.world.leader()
    former.abort()
    former.serving.cancel()
    context.world.instances.remove(former)
    loops.run(context, loops.until(lambda: context.world.schedulers))


@given(
    "a worker lists {count:d} runs with {millicores:d} millicores of a job that"
    " is unknown"
)
def list_unknown(context, count, millicores):
    worker = context.world.workers[0]

    async def begin():
        spec = f"ms=20000 cpu={millicores}"
        for number in range(count):
            task = f"{cell_jobs.JOB}.0.0.{number}"
            worker.running[task] = {"run": 1, "spec": spec}
            worker.violations += context.world.fleet_runs.begin(
                task, worker.worker_id, 1, spec
            )
        worker._changed.set()
        scheduler = context.world.schedulers[0]
        known = scheduler.worker_tracker.workers.get(worker.worker_id)
        await loops.until(lambda: known.unknown_runs)

    loops.run(context, begin())


@when("the next {count:d} starts are lost")
def lose_starts(context, count):
    for worker in context.world.workers:
        worker.lost_starts = count


@when(
    "a gang of {tasks:d} tasks with {millicores:d} millicores each is submitted"
)
def submit_gang(context, tasks, millicores):
    payload = f"ms=1500 cpu={millicores}"
    body = cell_world.job(tasks, payload, cpu=millicores, gang=True)
    status, _ = cell_jobs.submit(context, body, cell_jobs.OTHER_JOB)
    assert status == 200, status


@then("each of its tasks has begun once")
def begun_once(context):
    names = [name for each in context.world.workers for name, _ in each.starts]
    assert len(names) == len(set(names)) == 3, names


@when("the limit of the workspace is lowered to {millicores:d} millicores")
def lower_limit(context, millicores):
    content = cell_world.configuration(version=3, cap=millicores)
    context.world.store.put("op", "", "config", content)


@then("no start exceeded a limit")
def no_limit_exceeded(context):
    cell_jobs.check_no_violations(context)


@given(
    "a cell with {workers:d} workers and {instances:d} instances in which a"
    " change may take {milliseconds:d} ms"
)
def create_patient_cell(context, workers, instances, milliseconds):
    context.job = cell_jobs.JOB
    cell_world.start(
        context,
        workers,
        instances,
        configuration_apply_s=milliseconds / 1000,
    )


@when("the configuration is withheld from the instances")
def withhold_configuration(context):
    context.world.store.holds_configuration = True


@when("the configuration is no longer withheld")
def deliver_configuration(context):
    context.world.store.holds_configuration = False


@when("{milliseconds:d} ms pass")
def pass_time(context, milliseconds):
    loops.run(context, asyncio.sleep(milliseconds / 1000))


@then("no start exceeded a limit within {milliseconds:d} ms")
def no_limit_exceeded_within(context, milliseconds):
    pass_time(context, milliseconds)
    cell_jobs.check_no_violations(context)


@then(
    "tasks of the other job have started more than {seconds:d} s after the"
    " outage began"
)
def started_in_outage(context, seconds):
    late_s = context.outage_s + seconds
    events = cell_jobs.history(context)
    found = [
        event.time_s - context.outage_s
        for event in events
        if event.what == "started" and event.time_s > late_s
    ]
    assert found, events
