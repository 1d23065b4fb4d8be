"""Steps for the HTTP server and client."""

from __future__ import annotations

import asyncio
import socket

from behave import given
from behave import then
from behave import when

from marigoldgap import clock
from marigoldgap.web import client
from marigoldgap.web import messages
from marigoldgap.web import server
from tests.fixtures import cell_world
from tests.fixtures import loops

_LIMITS = server.HttpLimits(
    header_bytes=1_000, body_bytes=1_000, request_s=0.3, idle_s=5.0
)
# More passes of the event loop than accepting a connection and reading its
# request takes.
_ACCEPT_PASSES = 10
_FLUSH_S = 0.2
_INPUTS = {
    "garbage": b"\x00\x01 nonsense\r\n\r\n",
    "a large body": b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"
    + b"x" * 5_000,
    "large headers": b"GET / HTTP/1.1\r\nA: " + b"x" * 5_000 + b"\r\n\r\n",
    "half a request": b"GET / HTT",
    "too many requests": b"GET /next HTTP/1.1\r\n\r\n" * 20,
}


@given("an HTTP server with small limits")
def create_server(context):
    context.address = cell_world.free_address()

    async def handle(request):
        await asyncio.sleep(0.3 if request.path == "/slow" else 0)
        return messages.Response(200, request.path.encode())

    context.server = server.HttpServer(handle, lambda: _LIMITS)
    loops.run(context, context.server.start(context.address))
    context.add_cleanup(context.server.close)


async def _send_raw(address, content):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(content)
    response = await reader.read()
    writer.close()
    return response


@when("a client sends {name}")
def send_invalid(context, name):
    context.response = loops.run(
        context, _send_raw(context.address, _INPUTS[name])
    )


@then("it is answered with {status:d}")
def answered(context, status):
    assert context.response.startswith(
        b"HTTP/1.1 %d " % status
    ), context.response


@then("another client is served")
def others_served(context):
    pool = client.HttpPool()
    response = loops.run(context, pool.exchange("GET", context.address, "/x"))
    assert response.status == 200, response


@when("the server drains while it answers a request")
def drain(context):
    async def exchange():
        sending = asyncio.create_task(
            _send_raw(context.address, b"GET /slow HTTP/1.1\r\n\r\n")
        )
        await loops.until(lambda: not context.server.is_idle)
        context.server.drain()
        return await sending

    context.response = loops.run(context, exchange())


@then("the request gets its complete response")
def complete_response(context):
    assert context.response.endswith(b"/slow"), context.response


@then("the connection is closed after it")
def connection_closed(context):
    assert b"Connection: close" in context.response


@when("an exchange times out before its response arrives")
def time_out(context):
    context.pool = client.HttpPool()
    outcome = loops.outcome(
        context,
        context.pool.exchange("GET", context.address, "/slow", timeout_s=0.05),
    )
    assert isinstance(outcome, messages.NoAnswerError), outcome


@then("the next exchange on the pool gets its own response")
def own_response(context):
    async def exchange():
        await asyncio.sleep(0.4)
        return await context.pool.exchange("GET", context.address, "/next")

    response = loops.run(context, exchange())
    assert response.body == b"/next", response


@when("the server drains while two requests of a connection are in progress")
def drain_pipelined(context):
    async def exchange():
        content = b"GET /slow HTTP/1.1\r\n\r\nGET /last HTTP/1.1\r\n\r\n"
        sending = asyncio.create_task(_send_raw(context.address, content))
        await loops.until(lambda: not context.server.is_idle)
        context.server.drain()
        return await sending

    context.response = loops.run(context, exchange())


@then("both requests get their complete response")
def complete_responses(context):
    assert context.response.count(b"HTTP/1.1 200") == 2, context.response
    assert context.response.endswith(b"/last"), context.response


@when("a slow request ends the data of its client")
def send_and_half_close(context):
    async def exchange():
        host, _, port = context.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /slow HTTP/1.1\r\n\r\n")
        writer.write_eof()
        response = await reader.read()
        writer.close()
        return response

    context.response = loops.run(context, exchange())


@when("a slow request is followed by {name}")
def send_behind(context, name):
    content = b"GET /slow HTTP/1.1\r\n\r\n" + _INPUTS[name]
    context.response = loops.run(context, _send_raw(context.address, content))


@then("it gets the complete response and then {status:d}")
def answered_in_order(context, status):
    first, _, rest = context.response.partition(b"/slow")
    assert first.startswith(b"HTTP/1.1 200"), context.response
    assert b"HTTP/1.1 %d " % status in rest, context.response


def _connect_and_send(address, content):
    """Sends a request before the event loop runs again; returns the socket."""
    host, _, port = address.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    caller.sendall(content)
    return caller


async def _read_to_end(caller):
    caller.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=caller)
    try:
        return await reader.read()
    except ConnectionError as error:
        return repr(error).encode()
    finally:
        writer.close()


@when("a slow request has arrived unread and the server ends")
def end_with_unread(context):
    def interrupt(request, has_begun):
        del request, has_begun
        return messages.Response(503)

    async def end():
        caller = _connect_and_send(
            context.address, b"GET /slow HTTP/1.1\r\n\r\n"
        )
        context.server.drain()
        context.server.answer_unfinished(interrupt)
        await context.server.flush(_FLUSH_S)
        context.server.answer_unfinished(interrupt)
        context.server.close()
        return await _read_to_end(caller)

    context.response = loops.run(context, end())


@when("a request arrives unread on a connection that was idle for too long")
def send_when_idle(context):
    async def exchange():
        caller = _connect_and_send(context.address, b"")
        await loops.until(lambda: context.server._connections)
        caller.sendall(b"GET /next HTTP/1.1\r\nConnection: close\r\n\r\n")
        late_s = clock.now_s() + 2 * _LIMITS.idle_s
        for connection in list(context.server._connections):
            connection.close_if_overdue(late_s, _LIMITS, False)
        return await _read_to_end(caller)

    context.response = loops.run(context, exchange())


@then("the request gets its response")
def gets_response(context):
    assert context.response.endswith(b"/next"), context.response


@then("the request is answered with {status:d}")
def request_answered(context, status):
    assert context.response.startswith(
        b"HTTP/1.1 %d " % status
    ), context.response


async def _close_during_accept(passes):
    """Returns whether a server handled a request after it had closed."""
    is_closed = False
    handled = []

    async def handle(request):
        del request
        handled.append(is_closed)
        return messages.Response(200)

    address = cell_world.free_address()
    http_server = server.HttpServer(handle)
    await http_server.start(address)
    with _connect_and_send(address, b"GET / HTTP/1.1\r\n\r\n"):
        for _ in range(passes):
            await asyncio.sleep(0)
        http_server.close()
        is_closed = True
        for _ in range(_ACCEPT_PASSES):
            await asyncio.sleep(0.001)
    return any(handled)


@when("the server closes at each stage of accepting a connection")
def close_during_accept(context):
    context.late = [
        loops.run(context, _close_during_accept(passes))
        for passes in range(_ACCEPT_PASSES)
    ]


@then("no request was handled after the server had closed")
def none_handled_late(context):
    assert not any(context.late), context.late


@when('a client connects to "{address}"')
def connect_to(context, address):
    context.outcome = loops.outcome(context, client.connect(address))


@then("the connection fails and nothing was sent")
def not_connected(context):
    error = context.outcome
    assert isinstance(error, messages.NotConnectedError), repr(error)
