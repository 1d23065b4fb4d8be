"""Steps for the links of the soak."""

from __future__ import annotations

import asyncio
import socket
import struct

from behave import given
from behave import then
from behave import when

from soak import proxy
from tests.fixtures import cell_world
from tests.fixtures import loops

# A linger time of 0 s makes close() reset the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Time within which a reset reaches the link.
_RESET_S = 0.05


@given("a closed link of the soak")
def create_link(context):
    async def create():
        context.target = cell_world.free_address()
        context.link = proxy.Proxy(cell_world.free_address(), context.target)

    loops.run(context, create())
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


@given("a link of the soak that withholds the answers of its server")
def withhold_answers(context):
    create_link(context)
    context.link.mode = proxy.Mode.ANSWERS_LOST
    loops.run(context, _exchange(context))


async def _exchange(context):
    """Sends a request over the link, which withholds the answer."""

    def serve(_, writer):
        context.server_writer = writer
        writer.write(b"answer")

    server = await asyncio.start_server(serve, *_split(context.target))
    context.add_cleanup(server.close)
    await context.link.start()
    context.caller_reader, writer = await asyncio.open_connection(
        *_split(context.link.address)
    )
    context.add_cleanup(writer.close)
    await asyncio.sleep(_RESET_S)


@when("the server resets its connection")
def reset_by_server(context):
    async def reset():
        connection = context.server_writer.get_extra_info("socket")
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        context.server_writer.transport.abort()
        await asyncio.sleep(_RESET_S)

    loops.run(context, reset())


@when("a fault resets the link")
def reset_link(context):
    async def reset():
        context.link.reset()

    loops.run(context, reset())


@then("the connection of the link's caller is reset")
def caller_is_reset(context):
    error = loops.outcome(context, context.caller_reader.read())
    assert isinstance(error, ConnectionResetError), error


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
