"""Steps for the worker stand-in of the cell."""

from __future__ import annotations

import json
import time

from behave import given
from behave import then
from behave import when

from marigoldgap.web import client
from marigoldgap.web import request_heads
from tests.fixtures import cell_world
from tests.fixtures import loops


@given("a stand-in cell worker whose lease ends after {milliseconds:d} ms")
def create_worker(context, milliseconds):
    context.world = cell_world.CellWorld()
    context.cell_worker = context.world.create_worker("w0")
    context.lease_ms = milliseconds
    loops.run(context, context.cell_worker.start())
    context.add_cleanup(context.cell_worker.stop)


@when(
    "it runs a task of {milliseconds:d} ms and the test process is paused for"
    " {pause:d} ms"
)
def run_task(context, milliseconds, pause):
    worker = context.cell_worker
    body = {
        "task": "00000000000000a1.0.0.0",
        "run": 1,
        "spec": f"ms={milliseconds}",
        "untilMs": worker._clock_ms + context.lease_ms,
        "fence": 1,
    }

    async def start():
        content = json.dumps(body).encode()
        connection = await client.connect(worker.address)
        head = request_heads.encode(
            "POST",
            worker.address,
            "/v1/run-start",
            len(content),
            (("X-Expect-Instance", worker.worker_id),),
        )
        try:
            return await connection.exchange(head, content, 1.0)
        finally:
            connection.close()

    assert loops.run(context, start()).status == 200
    time.sleep(pause / 1000)


@then('its run has ended as "{end}"')
def check_end(context, end):
    worker = context.cell_worker
    loops.run(context, loops.until(lambda: not worker.running))
    assert [event.what for event in worker.history] == ["started", end]
