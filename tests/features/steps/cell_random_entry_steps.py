"""Steps for random rows of other writers in the store."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import records
from marigoldgap.web import client
from tests.fixtures import cell_world
from tests.fixtures import loops
from tests.fixtures import odd_entries

_RUNNING_JOB = "00000000000000d4"
_LAST_JOB = "00000000000000e5"
_RUNNING_TASKS = 3
# Tables whose rows decide who leads and what is configured.
_LEFT_OUT = (records.CELL, "op")
# Rows written before the event loop handles what was written.
_BATCH = 20


@given("jobs that left rows of each kind")
def leave_rows(context):
    async def submit():
        body = cell_world.job(_RUNNING_TASKS, "ms=60000", checkpoint=True)
        await context.world.call("POST", _RUNNING_JOB, body)
        await loops.until(
            lambda: (
                sum(len(worker.running) for worker in context.world.workers)
                == _RUNNING_TASKS
            )
        )

        worker = next(each for each in context.world.workers if each.running)
        worker._end(next(iter(worker.running)), "done")
        store = context.world.store
        await loops.until(
            lambda: any(row[0] == records.PROGRESS for row in store.rows)
        )

    loops.run(context, submit())
    context.connections = client.Connection.open_count


@when("{count:d} random entries with the seed {seed:d} are written")
def write_entries(context, count, seed):
    world = context.world
    examples = {}
    for (table, part, _), (value, _) in world.store.rows.items():
        if table not in _LEFT_OUT:
            examples.setdefault((table, part), []).append(value)
    addresses = [
        world.store.address,
        world.workers[0].address,
        world.instances[0].settings.callers_address,
        world.instances[1].settings.peers_address,
    ]
    entries = odd_entries.OddEntries(seed, addresses, examples)

    async def write():
        for number in range(count):
            world.store.put(*entries.draw())
            if number % _BATCH == 0:
                await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)

    loops.run(context, write())


@then("the processes have opened at most {count:d} connections")
def few_connections(context, count):
    opened = client.Connection.open_count
    assert opened <= count, (opened, context.connections)


@then("a further job completes")
def further_job(context):
    async def complete():
        body = cell_world.job(2)
        status, _ = await context.world.call(
            "POST", _LAST_JOB, body, context.world.leader()
        )
        assert status == 200, status
        await context.world.wait_for_state(
            _LAST_JOB, "completed", context.world.leader()
        )

    loops.run(context, complete())
