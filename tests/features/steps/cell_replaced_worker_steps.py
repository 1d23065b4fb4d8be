"""Steps for starts that are pending while the process of a worker changes."""

from __future__ import annotations

import asyncio

from behave import then
from behave import when

from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops

# The leader reads the registration of the next process in this time, while its
# latest renewal of the lease still waits for an answer.
_RESTART_S = 0.2
_LISTEN_DELAY_S = 0.6
# Time from the start of the task until its worker is cut off.
_CUT_AFTER_S = 0.1


@when(
    "the worker is replaced without a sign while a job of {milliseconds:d} ms"
    " waits for its start"
)
def replace_with_pending_start(context, milliseconds):
    (worker,) = context.world.workers
    worker.restart_s = _RESTART_S
    worker.listen_delay_s = _LISTEN_DELAY_S
    worker.silences_on_crash = True

    async def crash():
        lease_until_ms = worker.lease_until_ms
        await loops.until(lambda: worker.lease_until_ms != lease_until_ms)
        worker.crash()

    loops.run(context, crash())
    context.job = cell_jobs.JOB
    status, _ = cell_jobs.submit(
        context, cell_world.job(payload=f"ms={milliseconds}")
    )
    assert status == 200, status
    assert worker.is_down
    loops.run(context, loops.until(lambda: cell_jobs.starts(context)))


@then("the next process does not carry out the first start")
def first_start_not_carried_out(context):
    assert all(run > 1 for _, run in cell_jobs.starts(context))


@when("the worker is cut off once the task runs, and another worker joins")
def cut_off_for_good(context):
    (worker,) = context.world.workers

    async def cut_off():
        await asyncio.sleep(_CUT_AFTER_S)
        worker.cut_off()
        await context.world.create_worker("w1").start()

    loops.run(context, cut_off())


@then("the task runs on the other worker")
def runs_on_other(context):
    other = context.world.workers[1]
    loops.run(context, loops.until(lambda: other.running))
