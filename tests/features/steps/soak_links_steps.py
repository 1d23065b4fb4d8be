"""Steps for the links of the soak."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from soak import proxy
from tests.fixtures import cell_world
from tests.fixtures import loops


@given("a closed link of the soak")
def create_link(context):
    context.target = cell_world.free_address()
    context.link = proxy.Proxy(cell_world.free_address(), context.target)
    context.add_cleanup(context.link.close)


@when("two faults open the link at the same time")
def open_link(context):
    async def open_twice():
        await asyncio.gather(context.link.start(), context.link.start())

    loops.run(context, open_twice())


@then("the link accepts a connection")
def link_accepts(context):
    async def connect():
        _, writer = await asyncio.open_connection(*_split(context.link.address))
        writer.close()

    loops.run(context, connect())


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
