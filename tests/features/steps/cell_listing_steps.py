"""Steps for ends that workers list and that have to take effect."""

from __future__ import annotations

import asyncio
import json
from unittest import mock

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import records
from marigoldgap.platform import worker_client
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops
from tests.fixtures import stopwatch
from tests.standins.cell import worker as worker_standin

# Time in which the leader handles a listing, and acknowledges its ends.
_LISTED_S = 0.1
# Longest time between two listings while ends are not acknowledged.
_RENEWAL_S = 0.3
_THIRD_JOB = "00000000000000c3"
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


@given("workers that list {count:d} ends at a time")
def list_few_ends(context, count):
    for module, name in (
        (worker_standin, "_LISTED_ENDS"),
        (worker_client, "_MAX_LISTED_ENDS"),
    ):
        patch = mock.patch.object(module, name, count, create=True)
        patch.start()
        context.add_cleanup(patch.stop)


@when(
    "a job of {tasks:d} tasks of {duration:d} ms is submitted and all have begun"
)
def submit_wide(context, tasks, duration):
    body = cell_world.job(tasks, f"ms={duration}", cpu=100, memMb=1)
    status, _ = cell_jobs.submit(context, body)
    assert status == 200, status
    context.job = cell_jobs.JOB
    context.tasks = tasks
    loops.run(
        context, loops.until(lambda: len(cell_jobs.starts(context)) == tasks)
    )


@when(
    "the store refuses every call until they are done and {seconds:g} s longer"
)
def refuse_beyond_end(context, seconds):
    context.world.store.refusal = 503
    loops.run(context, loops.until(lambda: not context.world.fleet_runs))
    loops.run(context, asyncio.sleep(seconds))


@when("the worker lists {count:d} ends of another unknown job")
def list_other_ends(context, count):
    worker = context.world.workers[0]
    for position in range(count):
        name = f"{_THIRD_JOB}.0.0.{position}"
        worker.running[name] = {"run": 1, "spec": "ms=1"}
        worker._end(name, "done")
    loops.run(context, asyncio.sleep(_LISTED_S))


@when("the task of the unknown job is done")
def end_unknown(context):
    context.world.workers[0]._end(context.unknown_run, "done")
    loops.run(context, asyncio.sleep(_LISTED_S + _RENEWAL_S))


@then("a listing of {count:d} ends is complete")
def listing_complete(context, count):
    assert _listing(count).is_complete


@then("a listing of {count:d} ends is not complete")
def listing_cut(context, count):
    assert not _listing(count).is_complete


def _listing(count):
    ended = [
        [number, f"{_THIRD_JOB}.0.0.{number}", 1, "done", ""]
        for number in range(1, count + 1)
    ]
    fields = {"clockMs": 1, "running": [], "ended": ended}
    return worker_client.decode_listing(json.dumps(fields).encode())
