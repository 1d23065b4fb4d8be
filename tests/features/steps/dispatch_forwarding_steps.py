"""Steps for forwarding and drains."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap import clock
from marigoldgap.dispatch import forwarded_header
from marigoldgap.dispatch import forwarding
from tests.features.steps import dispatch_requests_steps as requests_steps
from tests.fixtures import caller
from tests.fixtures import loops
from tests.fixtures import peering
from tests.fixtures import settings_fixtures


async def _occupy(plane):
    """Occupies the only slot of a plane until its worker's `hold` is set."""
    worker = plane.workers[0]
    worker.faults = ["hold"]
    occupying = asyncio.create_task(
        caller.Caller(plane.address).request(b"first")
    )
    await loops.until(lambda: worker.running == 1)
    return occupying


async def _start_pair(context):
    context.first, context.second = await peering.start_pair()
    context.occupying = await _occupy(context.first)
    context.caller = caller.Caller(context.first.address)


@given("two data planes that know each other, the first one full")
def first_full(context):
    loops.run(context, _start_pair(context))


@given("two data planes that know each other, both full")
def both_full(context):
    loops.run(context, _start_pair(context))
    context.occupying_second = loops.run(context, _occupy(context.second))


@given("the other one {fault} after it got a request")
def faulty_peer(context, fault):
    async def replace():
        context.faulty = peering.FaultyPeer(fault)
        address = await context.faulty.start()
        context.first.directory.entries.clear()
        context.first.directory.add_fixed("entry-2", address, "centro", 1)

    loops.run(context, replace())


@given("the second one knows a third peer with free capacity")
def third_peer(context):
    context.second.directory.add_fixed("entry-3", "127.0.0.1:1", "centro", 9)
    # The load that the first one knows of its peer is from before the request.
    context.first.directory.entries.clear()
    context.first.directory.add_fixed(
        "entry-2", context.second.address, "centro", 1
    )


@when("a request is sent to the full one")
def request_to_full(context):
    context.result = loops.run(context, context.caller.request(b"t1"))


@when("a request is sent to the full one whose slot is freed later")
def request_freed_later(context):
    async def send():
        sent = asyncio.create_task(context.caller.request(b"t1"))
        await loops.until(lambda: context.faulty.received)
        await loops.until(lambda: context.first.dispatcher.load().waiting)
        context.first.workers[0].hold.set()
        return await sent

    context.result = loops.run(context, send())


@when("a request with a deadline of {wait_ms:d} ms is sent to the first one")
def request_with_deadline(context, wait_ms):
    request = context.caller.request(
        b"t1", Marigoldgap_Deadline_Ms=str(wait_ms)
    )
    context.result = loops.run(context, request)


@then("the answer comes from a worker of the other one")
def answer_of_other(context):
    assert context.result.body == b"answer to t1", context.result
    assert len(context.second.workers[0].ran) == 1
    assert len(context.first.workers[0].ran) == 1


@then("the answer comes from a worker of the full one")
def answer_of_full(context):
    assert context.result.body == b"answer to t1", context.result
    assert context.faulty.received == 1
    assert len(context.first.workers[0].ran) == 2


@then("nothing of the lost request ran on the first one")
def nothing_ran_here(context):
    assert context.faulty.received == 1
    assert len(context.first.workers[0].starts) == 1


@then("no request was forwarded by the second one")
def not_forwarded_again(context):
    assert context.first.forwarder.forwarded == 1
    assert context.second.forwarder.forwarded == 0


def _forged(fault):
    secret = settings_fixtures.SECRET
    if fault == "no signature":
        return "claims"
    if fault == "a wrong signature":
        secret = "another secret of the cluster"
    payload = b"other" if fault == "another payload" else b"t1"
    header = forwarded_header.sign(secret, "claims", "status", payload)
    if fault == "another team":
        return header.replace("claims", "desk")
    if fault == "an old signature":
        old = clock.wall_ms
        try:
            clock.wall_ms = lambda: old() - 60_000
            return forwarded_header.sign(secret, "claims", "status", payload)
        finally:
            clock.wall_ms = old
    return header


@when("a forwarded request with {fault} reaches the other one")
def forged_forward(context, fault):
    other = caller.Caller(context.second.address)
    headers = {forwarded_header.HEADER: _forged(fault)}
    context.result = loops.run(
        context,
        other.send("POST", "/v1/queues/status/requests", b"t1", headers),
    )
    assert not context.second.workers[0].starts


@then("a peer in another region is chosen only for a long expected wait")
def remote_peer(context):
    directory = peering.Directory()
    directory.add_fixed("far", "127.0.0.1:1", "costa", 4)
    settings = settings_fixtures.make_settings()
    forwarder = forwarding.HttpForwarder(settings, directory, lambda: 0)
    task = requests_steps.make_task("t1")
    assert forwarder.choose(task, 100, 30.0) is None
    assert forwarder.choose(task, 100, 100.0) == "far"
    # 1 MB takes more than half a second on the link between regions.
    assert forwarder.choose(task, 1_000_000, 100.0) is None
    directory.add_fixed("near", "127.0.0.1:2", "centro", 1)
    assert forwarder.choose(task, 1_000_000, 0.0) == "near"


@given("a request waits in the queue of the first one while its peer is full")
def waiting_at_first(context):
    async def begin():
        context.occupying_second = await _occupy(context.second)
        context.waiting = asyncio.create_task(context.caller.request(b"t1"))
        await loops.until(lambda: context.first.dispatcher.load().waiting)

    loops.run(context, begin())


@when("the first one drains while the peer gets free capacity")
def first_drains(context):
    async def drain():
        context.second.workers[0].hold.set()
        await context.occupying_second
        draining = asyncio.create_task(context.first.dispatcher.drain())
        context.result = await context.waiting
        assert not draining.done()
        context.first.workers[0].hold.set()
        await draining

    loops.run(context, drain())


@then("the running request gets its own answer and the waiting one the peer's")
def both_answered(context):
    first = loops.run(context, context.occupying)
    assert first.body == b"answer to first"
    assert context.result.body == b"answer to t1"
    assert len(context.second.workers[0].ran) == 2


@then("the drained one refuses new requests as not run")
def drained_refuses(context):
    answer = loops.run(context, context.caller.request(b"t2"))
    assert answer.status == 503
    assert answer.headers["marigoldgap-ran"] == "no"
    assert b'"stopping"' in answer.body
