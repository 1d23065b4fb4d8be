"""Steps for idempotency keys."""

from __future__ import annotations

import asyncio

from behave import then
from behave import when

from tests.features.steps import dispatch_requests_steps as requests_steps
from tests.fixtures import loops

_KEY = "key-1"


async def _recorded(context):
    dispatcher = context.plane.dispatcher
    await loops.until(lambda: not dispatcher._background_tasks)


def _twice(context, payload):
    async def dispatch():
        first = await requests_steps.submit(context, "t1", _KEY, payload)
        await _recorded(context)
        second = await requests_steps.submit(context, "t2", _KEY, payload)
        return first, second

    return loops.outcome(context, dispatch())


@when("a dispatch with a key is made twice")
def made_twice(context):
    context.results = _twice(context, b"book")


@then("the second one gets the same answer, marked as replayed")
def same_answer(context):
    first, second = context.results
    assert second.body == first.body == b"answer to book"
    assert "marigoldgap-replayed" not in first.headers
    assert second.headers["marigoldgap-replayed"] == "true"


@when("a dispatch with a key is repeated while the first one runs")
def repeated_while_running(context):
    async def dispatch():
        worker = context.plane.workers[0]
        worker.faults = ["hold"]
        first = asyncio.create_task(
            requests_steps.submit(context, "t1", _KEY, b"book")
        )
        await loops.until(lambda: worker.starts)
        try:
            return await requests_steps.submit(context, "t2", _KEY, b"book")
        finally:
            worker.hold.set()
            await first

    context.result = loops.outcome(context, dispatch())


@when("a key is used again with another payload")
def other_payload(context):
    async def dispatch():
        await requests_steps.submit(context, "t1", _KEY, b"book")
        await _recorded(context)
        return await requests_steps.submit(context, "t2", _KEY, b"cancel")

    context.result = loops.outcome(context, dispatch())


@when("a dispatch with a key is refused as not run and then repeated")
def refused_then_repeated(context):
    async def dispatch():
        late = requests_steps.make_task("t0", deadline_ms=0)
        dispatcher = context.plane.dispatcher
        dispatcher._parts.gate.set_quarantined("w1", True)
        refused = await asyncio.gather(
            dispatcher.submit(late, b"t1", False, _KEY),
            return_exceptions=True,
        )
        assert refused[0].ran.value == "no", refused
        dispatcher._parts.gate.set_quarantined("w1", False)
        await _recorded(context)
        return await requests_steps.submit(context, "t1", _KEY)

    context.result = loops.outcome(context, dispatch())


@when("a dispatch with a key and a payload of {size:d} bytes is made twice")
def large_answer(context, size):
    context.result = _twice(context, b"x" * size)


@when('a dispatch with a key meets the table service fault "{fault}"')
def store_fault(context, fault):
    async def dispatch():
        context.plane.table.fault = fault
        return await requests_steps.submit(context, "t1", _KEY)

    context.result = loops.outcome(context, dispatch())


@then('the dispatch ends with "{outcome}"')
def ends_with(context, outcome):
    if outcome == "answer":
        requests_steps.own_answer(context)
        return
    requests_steps.dispatch_fails(context, outcome, "no")
