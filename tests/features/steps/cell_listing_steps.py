"""Steps for ends that workers list and that have to take effect."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import records
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops
from tests.fixtures import stopwatch

# Time in which the leader handles a listing, and acknowledges its ends.
_LISTED_S = 0.1
_UNKNOWN_TASK = f"{cell_jobs.OTHER_JOB}.0.0.0"


@given("a worker lists a done task of an unknown job")
def list_done_task(context):
    worker = context.world.workers[0]

    async def begin():
        worker.running[_UNKNOWN_TASK] = {"run": 1, "spec": "ms=1"}
        worker._end(_UNKNOWN_TASK, "done")
        await asyncio.sleep(_LISTED_S)

    loops.run(context, begin())


@when("the job of the done task is submitted")
def submit_done(context):
    status, _ = cell_jobs.submit(context, cell_world.job(), cell_jobs.OTHER_JOB)
    assert status == 200, status


@then("no worker has started a task")
def nothing_started(context):
    starts = [each.starts for each in context.world.workers]
    assert not any(starts), starts


@then("the worker lists no end after at most {seconds:d} s")
def lists_no_end(context, seconds):
    worker = context.world.workers[0]
    loops.run(
        context,
        stopwatch.within(loops.until(lambda: not worker.ended), seconds),
    )


@given("the feed of jobs has no answers")
def silence_feed(context):
    store = context.world.store
    answer = store._feed

    async def withhold(fields):
        if fields["table"] == records.JOBS:
            await asyncio.Event().wait()
        return await answer(fields)

    store._feed = withhold


@then("the worker still lists the end of the unknown job")
def still_lists(context):
    names = [each[1] for each in context.world.workers[0].ended]
    assert _UNKNOWN_TASK in names, names
