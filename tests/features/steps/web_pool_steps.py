"""Steps for the pool of connections that a process opens."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap import errors
from marigoldgap.web import client
from marigoldgap.web import messages
from marigoldgap.web import server
from tests.fixtures import cell_world
from tests.fixtures import loops

# Time in which closed connections are noticed.
_SETTLE_S = 0.05


async def _answer(request):
    return messages.Response(200, request.path.encode())


async def _start_server(context):
    address = cell_world.free_address()
    started = server.HttpServer(_answer)
    await started.start(address)
    context.add_cleanup(started.close)
    return address


@given("a pool that may keep {count:d} connections")
def create_pool(context, count):
    # Earlier scenarios may have left connections open.
    context.former = client.Connection.open_count
    context.pool = client.HttpPool(context.former + count)
    context.outside = []


@when("{count:d} connections are opened outside the pool")
def open_outside(context, count):
    async def run():
        address = await _start_server(context)
        for _ in range(count):
            context.outside.append(await client.connect(address))

    loops.run(context, run())


@when("{count:d} servers are called one after the other")
def call_servers(context, count):
    async def run():
        context.addresses = [await _start_server(context) for _ in range(count)]
        for address in context.addresses:
            response = await context.pool.exchange("GET", address, "/x")
            assert response.status == 200, response
        await asyncio.sleep(_SETTLE_S)

    loops.run(context, run())


@then("the process has opened at most {count:d} connections")
def count_open(context, count):
    found = client.Connection.open_count - context.former
    assert 0 < found <= count, found


@then("the servers that were called last still have theirs")
def last_are_kept(context):
    kept = [
        address for address in context.addresses if context.pool._idle[address]
    ]
    assert kept == context.addresses[-3:], kept


@then("those outside the pool are open")
def outside_open(context):
    assert all(connection.is_open for connection in context.outside)
    for connection in context.outside:
        connection.close()


def _call(context, check=None):
    """Calls the server; a failure must say that nothing was sent."""
    if not hasattr(context, "received"):
        context.received = []

        async def answer(request):
            context.received.append(request.path)
            return messages.Response(200)

        async def start():
            address = cell_world.free_address()
            started = server.HttpServer(answer)
            await started.start(address)
            context.add_cleanup(started.close)
            return address

        context.address = loops.run(context, start())
    return loops.outcome(
        context,
        context.pool.exchange("GET", context.address, "/x", check=check),
    )


def _is_unsent(outcome):
    return getattr(outcome, "ran", None) is errors.Ran.NO


@when("a server is called without a check")
def call_unchecked(context):
    assert _call(context).status == 200


@when("it is called with a check that fails")
def call_failing(context):
    async def check(connection):
        raise messages.NotConnectedError("another process answers")

    assert _is_unsent(_call(context, check))


@when("a server is called with a check that takes {seconds:g} s")
@when("it is called with a check that takes {seconds:g} s")
def call_checked(context, seconds):
    async def check(connection):
        await asyncio.sleep(seconds)

    outcome = _call(context, check)
    assert _is_unsent(outcome) or outcome.status == 200, outcome


@when("a server is called with a check after which it closes")
def call_closing(context):
    async def check(connection):
        connection.close()

    assert _is_unsent(_call(context, check))


@then("only the call without a check has reached it")
def one_call(context):
    assert len(context.received) == 1, context.received


@then("no call has reached it")
def none_received(context):
    assert not context.received, context.received


@then("{count:d} calls have reached it")
def received(context, count):
    assert len(context.received) == count, context.received
