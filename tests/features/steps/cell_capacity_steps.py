"""Steps for workers whose capacity changes while they run."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops

_SLOW_STORE_S = 0.6


def _submit(context, job_id, count, cores, milliseconds, **fields):
    millicores = 1000 * cores
    payload = f"ms={milliseconds} cpu={millicores} mem=100"
    body = cell_world.job(count, payload, cpu=millicores, **fields)
    instance = context.world.instances[0]
    status, _ = cell_jobs.submit(context, body, job_id, instance)
    assert status == 200, status


@when(
    "a job of {count:d} tasks with {cores:d} core for {milliseconds:d} ms each"
    " is running"
)
def running_job(context, count, cores, milliseconds):
    context.tasks = count
    _submit(context, cell_jobs.JOB, count, cores, milliseconds)
    loops.run(
        context,
        loops.until(lambda: len(context.world.fleet_runs) == count),
    )


@when(
    "another job of {count:d} tasks with {cores:d} core for {milliseconds:d} ms"
    " each is submitted"
)
def submit_other(context, count, cores, milliseconds):
    _submit(context, cell_jobs.OTHER_JOB, count, cores, milliseconds)


@when(
    "another gang of {count:d} tasks with {cores:d} core for"
    " {milliseconds:d} ms each is submitted"
)
def submit_gang(context, count, cores, milliseconds):
    _submit(context, cell_jobs.OTHER_JOB, count, cores, milliseconds, gang=True)


@when("the capacity of the first worker changes to {cores:d} cores")
def change_cores(context, cores):
    _change(context, cpu=1000 * cores)


@when("the first worker changes to {count:d} accelerators")
def change_accelerators(context, count):
    _change(context, gpu=count)


@when("the first worker changes to {mib:d} MiB of memory")
def change_memory(context, mib):
    _change(context, memMb=mib)


def _change(context, **amounts):
    worker = context.world.workers[0]
    worker.change_capacity(getattr(context, "grace_s", 0.0), **amounts)
    workers = context.world.leader().scheduler.worker_tracker.workers
    expected = tuple(worker.capacity[name] for name in ("cpu", "memMb", "gpu"))
    loops.run(
        context,
        loops.until(
            lambda: (
                workers.get(worker.worker_id).registration.capacity == expected
            )
        ),
    )


def _submit_amounts(context, job_id, count, milliseconds, amounts, **fields):
    words = {"cpu": "cpu", "memMb": "mem", "gpu": "gpu"}
    payload = " ".join(
        [
            f"ms={milliseconds}",
            *(f"{words[name]}={amount}" for name, amount in amounts.items()),
        ]
    )
    body = cell_world.job(count, payload, **amounts, **fields)
    status, _ = cell_jobs.submit(
        context, body, job_id, context.world.instances[0]
    )
    assert status == 200, status


@when(
    "a job of {count:d} tasks with {mib:d} MiB and {accelerators:d} accelerators"
    " for {milliseconds:d} ms each is running"
)
def running_amounts(context, count, mib, accelerators, milliseconds):
    context.tasks = count
    amounts = {"cpu": 1000, "memMb": mib, "gpu": accelerators}
    _submit_amounts(context, cell_jobs.JOB, count, milliseconds, amounts)
    loops.run(
        context, loops.until(lambda: len(context.world.fleet_runs) == count)
    )


@when(
    "another job of {count:d} tasks with {mib:d} MiB and {accelerators:d}"
    " accelerators for {milliseconds:d} ms each is submitted"
)
def submit_amounts(context, count, mib, accelerators, milliseconds):
    amounts = {"cpu": 1000, "memMb": mib, "gpu": accelerators}
    _submit_amounts(context, cell_jobs.OTHER_JOB, count, milliseconds, amounts)


@when(
    "another job of {count:d} tasks that use only idle cores and {mib:d} MiB"
    " for {milliseconds:d} ms each is submitted"
)
def submit_idle_only(context, count, mib, milliseconds):
    _submit_amounts(
        context,
        cell_jobs.OTHER_JOB,
        count,
        milliseconds,
        {"memMb": mib},
        fills=True,
    )


@given("a capacity that has shrunk counts {milliseconds:d} ms later")
def shrunk_counts_later(context, milliseconds):
    context.grace_s = milliseconds / 1000


@given("the first worker loses the next {count:d} starts")
def lose_starts(context, count):
    context.world.workers[0].lost_starts = count


@when("the leader ends while registrations cannot be read")
def leader_ends_without_registrations(context):
    world = context.world
    world.store.holds_registrations = True
    former = world.leader()
    former.abort()
    former.serving.cancel()
    world.instances.remove(former)
    loops.run(
        context,
        loops.until(
            lambda: any(scheduler.is_obeyed for scheduler in world.schedulers)
        ),
    )


@when("the store answers registrations again after {milliseconds:d} ms")
def answer_registrations(context, milliseconds):
    loops.run(context, asyncio.sleep(milliseconds / 1000))
    context.world.store.holds_registrations = False


@then("no start exceeded a capacity")
def none_exceeded(context):
    cell_jobs.check_no_violations(context)


@then("each running task was started once")
def running_started_once(context):
    names = [name for name, _ in cell_jobs.starts(context)]
    assert len(names) == context.tasks == len(set(names)), names


@then("no task starts in {milliseconds:d} ms")
def none_starts(context, milliseconds):
    loops.run(context, asyncio.sleep(milliseconds / 1000))
    assert not any(worker.starts for worker in context.world.workers)


@then("{count:d} tasks ran at the same time")
def ran_together(context, count):
    assert context.world.workers[0].most_running == count


@when(
    "the capacity of the first worker changes to {cores:d} cores at the next"
    " leader"
)
def change_at_next_leader(context, cores):
    loops.run(context, loops.until(lambda: context.world.scheduler_is_ready(1)))
    change_cores(context, cores)


@when(
    "its next start is stored while the capacity shrinks for"
    " {milliseconds:d} ms"
)
def shrinks_while_stored(context, milliseconds):
    world = context.world
    worker = world.workers[0]
    known = world.leader().scheduler.worker_tracker.workers

    async def wait_for_start():
        step = context.job_progress
        await loops.until(lambda: step.crash_count(0) == 1)
        world.store.delay_s = _SLOW_STORE_S
        await loops.until(lambda: 0 in step.recorded_starts)

    loops.run(context, wait_for_start())
    # The registration reaches the leader before the start is stored.
    capacity = dict(worker.capacity)
    worker.capacity["cpu"] = 0
    worker.register()
    registration = known.get(worker.worker_id).registration
    known.get(worker.worker_id).update_registration(
        registration._replace(
            capacity=registration.capacity._replace(millicores=0)
        )
    )
    loops.run(context, asyncio.sleep(milliseconds / 1000))
    world.store.delay_s = 0.0
    worker.capacity = capacity
    worker.register()
