"""Steps for the rows of instances in the store."""

from __future__ import annotations

import asyncio

from behave import then
from behave import when

from marigoldgap.cell import records
from tests.fixtures import loops


def _row_key(context):
    return (records.INSTANCES, "", context.former.settings.name)


def _take_follower(context):
    """Chooses an instance that does not lead, once it is registered."""
    leader = context.world.leader()
    context.former = next(
        each for each in context.world.instances if each is not leader
    )

    def is_registered():
        return context.world.store.value(*_row_key(context)) is not None

    loops.run(context, loops.until(is_registered))
    # The answer to the registration has arrived.
    loops.run(context, asyncio.sleep(0.1))


def _ask_to_stop(context):
    context.former.request_stop()
    context.world.instances.remove(context.former)


@when("an instance that does not lead is asked to stop")
def stop_follower(context):
    _take_follower(context)
    _ask_to_stop(context)


@when(
    "an instance that does not lead is asked to stop after another process of"
    " it has registered"
)
def stop_replaced(context):
    _take_follower(context)
    context.world.store.put(*_row_key(context), b'{"address": "127.0.0.1:9"}')
    _ask_to_stop(context)


@when(
    "the store answers nothing and an instance that does not lead is asked to"
    " stop"
)
def stop_without_store(context):
    _take_follower(context)
    context.world.store.is_silent = True
    _ask_to_stop(context)


@then("the row of that instance is removed")
def row_removed(context):
    def is_removed():
        return context.world.store.value(*_row_key(context)) is None

    loops.run(context, loops.until(is_removed))


@then("the leader knows {count:d} other instance within {seconds:d} s")
def knows_others(context, count, seconds):
    def knows():
        leaders = [each for each in context.world.instances if each.scheduler]
        return any(len(each._instances.peers) == count for each in leaders)

    async def wait():
        async with asyncio.timeout(seconds):
            await loops.until(knows)

    loops.run(context, wait())


@then("the row of that instance is kept")
def row_kept(context):
    loops.run(context, asyncio.wait({context.former.serving}))
    assert context.world.store.value(*_row_key(context)) is not None


@then("that instance ends within {seconds:d} s")
def ends_within(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            await asyncio.wait({context.former.serving})

    loops.run(context, wait())
