"""Steps for the limits of an HTTP server on its connections."""

from __future__ import annotations

import asyncio
import socket

from behave import given
from behave import then
from behave import when

from marigoldgap import clock
from marigoldgap.web import client
from marigoldgap.web import connection_registry
from marigoldgap.web import limits
from marigoldgap.web import messages
from marigoldgap.web import request_heads
from marigoldgap.web import server
from tests.fixtures import cell_world
from tests.fixtures import loops

_REQUEST = b"GET /x HTTP/1.1\r\nHost: y\r\n\r\n"
_SLOW_REQUEST = b"GET /slow HTTP/1.1\r\nHost: y\r\n\r\n"
_LARGE = b"x" * 10_000
_SLOW_S = 0.5
_SMALL_BUFFER = 4_096
# Passes of the event loop after which what was sent has been handled.
_SETTLE_S = 0.002
_HELD_BYTES = 1_000_000


async def _start(context, process_limits, max_connections):
    context.handled = 0

    async def handle(request):
        context.handled += 1
        if request.path == "/slow":
            await asyncio.sleep(_SLOW_S)
        return messages.Response(200, _LARGE)

    context.address = cell_world.free_address()
    context.registry = connection_registry.ConnectionRegistry(process_limits)
    context.server = server.HttpServer(
        handle,
        limits.HttpLimits,
        context.registry,
        "test",
        max_connections,
    )
    context.most_connections = context.most_held_bytes = 0
    await context.server.start(context.address)


@given("a server with large responses and at most {count:d} connections")
def start_limited(context, count):
    process_limits = limits.derive()._replace(held_bytes=_HELD_BYTES)
    loops.run(context, _start(context, process_limits, count))
    context.add_cleanup(context.server.close)


@given("a server with the default limits of a process")
def start_default(context):
    defaults = limits.derive()
    loops.run(context, _start(context, defaults, defaults.callers))
    context.add_cleanup(context.server.close)


async def _open_small(address):
    """Opens a connection that takes little data before it is read."""
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER)
    # Otherwise requests that were sent one by one arrive together.
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, int(port)))
    return connection


async def _send_one_by_one(context, count, last=b""):
    context.caller = await _open_small(context.address)
    context.add_cleanup(context.caller.close)
    loop = asyncio.get_running_loop()
    for _ in range(count):
        await loop.sock_sendall(context.caller, _REQUEST)
        await asyncio.sleep(_SETTLE_S)
    if last:
        await loop.sock_sendall(context.caller, last)
    await asyncio.sleep(0.05)


@when("a client sends {count:d} requests one by one and reads nothing")
def send_unread(context, count):
    loops.run(context, _send_one_by_one(context, count))


@then("at most {count:d} of them were handled")
def handled_at_most(context, count):
    assert 0 < context.handled <= count, context.handled


def _sweep(context, now_s):
    for each in list(context.server._connections):
        each.close_if_overdue(now_s, limits.HttpLimits(), False)


def _is_aborted_after(context, wait_s):
    async def check():
        now_s = clock.now_s()
        _sweep(context, now_s)
        [connection] = context.server._connections
        _sweep(context, now_s + wait_s - 2)
        assert connection in context.server._connections
        _sweep(context, now_s + wait_s)
        await asyncio.sleep(_SETTLE_S)
        assert connection not in context.server._connections

    loops.run(context, check())


@then("the connection is aborted {wait_s:d} s after it was closed")
def aborted_after_close(context, wait_s):
    _is_aborted_after(context, wait_s)


@then(
    "the connection is aborted {wait_s:d} s after the client has stopped"
    " reading"
)
def aborted_after_stop(context, wait_s):
    _is_aborted_after(context, wait_s)


@then("another client of the server is served")
def other_served(context):
    pool = client.HttpPool()
    response = loops.run(context, pool.exchange("GET", context.address, "/x"))
    assert response.status == 200, response


async def _read_until(caller, is_complete):
    loop = asyncio.get_running_loop()
    content = b""
    while not is_complete(content):
        part = await loop.sock_recv(caller, 65_536)
        if not part:
            break
        content += part
    return content


@when("a client sends {count:d} requests one by one and then reads")
def send_then_read(context, count):
    def is_complete(content):
        return content.count(_LARGE) == count

    async def exchange():
        await _send_one_by_one(context, count)
        context.content = await _read_until(context.caller, is_complete)

    loops.run(context, exchange())


@then("it gets {count:d} responses")
def gets_responses(context, count):
    found = context.content.count(b"HTTP/1.1 200")
    assert found == count, found


@when("a client sends {count:d} requests one by one and then garbage")
def send_garbage(context, count):
    async def exchange():
        await _send_one_by_one(context, count, b"\x00 nonsense\r\n\r\n")
        for each in context.server._connections:
            each.close()

    loops.run(context, exchange())


async def _connect(context):
    host, _, port = context.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    context.add_cleanup(writer.close)
    return reader, writer


def _observe(context):
    context.most_connections = max(
        context.most_connections, len(context.server._connections)
    )
    context.most_held_bytes = max(
        context.most_held_bytes, context.registry.held_bytes
    )


async def _slow_clients(context, count):
    opened = [await _connect(context) for _ in range(count)]
    for _, writer in opened:
        writer.write(_SLOW_REQUEST)
        context.writer = writer
    await loops.until(lambda: context.handled == count)
    return [reader for reader, _ in opened]


async def _read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    return head, await reader.readexactly(len(_LARGE))


@when("a slow request is being answered while {count:d} clients connect")
def connect_beside(context, count):
    async def exchange():
        context.readers = await _slow_clients(context, 1)
        for number in range(count):
            _, writer = await _connect(context)
            if number % 2:
                writer.write(b"GET / HTTP/1.1\r\n")
            await asyncio.sleep(_SETTLE_S)
            _observe(context)
        context.responses = [
            await _read_response(each) for each in context.readers
        ]

    loops.run(context, exchange())


@then("the slow request gets its response")
@then("each slow request gets its response")
def slow_answered(context):
    for head, body in context.responses:
        assert head.startswith(b"HTTP/1.1 200"), head
        assert body == _LARGE


@then("at most {count:d} connections are open")
def open_at_most(context, count):
    assert context.most_connections <= count, context.most_connections


@when("a client connects beside {count:d} slow requests")
def connect_when_full(context, count):
    async def exchange():
        readers = await _slow_clients(context, count)
        reader, _ = await _connect(context)
        context.refusal = await reader.read()
        context.responses = [await _read_response(each) for each in readers]

    loops.run(context, exchange())


@then("it is refused with {status:d} and may retry after {wait_s:d} s")
def refused(context, status, wait_s):
    assert context.refusal.startswith(b"HTTP/1.1 %d " % status), context.refusal
    assert b"Retry-After: %d\r\n" % wait_s in context.refusal, context.refusal


@when("{count:d} clients send {size:d} bytes of a body")
def send_bodies(context, count, size):
    async def exchange():
        head = b"POST / HTTP/1.1\r\nContent-Length: 262144\r\n\r\n"
        for _ in range(count):
            _, writer = await _connect(context)
            writer.write(head + b"x" * size)
            for _ in range(20):
                await asyncio.sleep(_SETTLE_S)
                _observe(context)

    loops.run(context, exchange())


@then("the connections hold at most {size:d} bytes")
def hold_at_most(context, size):
    assert 0 < context.most_held_bytes <= size, context.most_held_bytes


@when(
    "{count:d} callers send a body of {size:d} bytes each and keep their"
    " connections"
)
def many_callers(context, count, size):
    head = request_heads.encode("POST", "y", "/x", size)

    async def call():
        connection = await client.connect(context.address)
        context.add_cleanup(connection.close)
        responses = [
            await connection.exchange(head, b"x" * size, 20.0) for _ in range(2)
        ]
        return [each.status for each in responses], connection

    async def exchange():
        context.results = await asyncio.gather(*(call() for _ in range(count)))
        context.are_open = all(each.is_open for _, each in context.results)

    loops.run(context, exchange())


@then("each of them is served twice on its connection")
def all_served(context):
    assert all(each == [200, 200] for each, _ in context.results)
    assert context.are_open


@when(
    "the server ends while {count:d} requests and a large body wait on a"
    " connection"
)
def end_while_waiting(context, count):
    async def exchange():
        [reader] = await _slow_clients(context, 1)
        writer = context.writer
        for _ in range(count - 1):
            writer.write(_REQUEST)
            await asyncio.sleep(_SETTLE_S)
        writer.write(
            b"POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + _LARGE
        )
        await asyncio.sleep(_SETTLE_S)
        assert context.handled == 1, context.handled
        context.server.answer_unfinished(lambda *_: messages.Response(503))
        context.content = await reader.read()

    loops.run(context, exchange())


@when("the server drains while {count:d} requests and a large body wait unread")
def drain_while_waiting(context, count):
    async def exchange():
        [reader] = await _slow_clients(context, 1)
        for _ in range(count):
            context.writer.write(_REQUEST)
            await asyncio.sleep(_SETTLE_S)
        body = 4 * _LARGE
        context.writer.write(request_heads.encode("POST", "y", "/x", len(body)))
        context.writer.write(body)
        await asyncio.sleep(_SETTLE_S)
        assert context.handled == 1, context.handled
        context.server.drain()
        context.content = await reader.read()

    loops.run(context, exchange())


@then(
    "the client gets {count:d} responses with {status:d} and the connection"
    " closes"
)
def all_answered(context, count, status):
    found = context.content.count(b"HTTP/1.1 %d " % status)
    assert found == context.content.count(b"HTTP/1.1") == count, found


@when("{count:d} clients each send a slow request and disconnect")
def send_and_disconnect(context, count):
    async def exchange():
        for _ in range(count):
            _, writer = await _connect(context)
            writer.write(_SLOW_REQUEST)
            await asyncio.sleep(_SETTLE_S)
            writer.transport.abort()

    loops.run(context, exchange())


@when(
    "a client sends {count:d} requests at once beside a task of the event loop"
)
def send_at_once(context, count):
    async def take_turns():
        while context.handled < count:
            if context.handled:
                context.turns += 1
            await asyncio.sleep(0)

    async def exchange():
        context.turns = 0
        _, writer = await _connect(context)
        writer.write(_REQUEST * count)
        await take_turns()

    loops.run(context, exchange())


@then("the task had its turn at least {count:d} times before the last one")
def had_turns(context, count):
    assert context.turns >= count, context.turns


@when("a caller sends a body of {size:d} bytes on a connection twice")
def send_large_bodies(context, size):
    async def exchange():
        head = request_heads.encode("POST", "y", "/x", size)
        connection = await client.connect(context.address)
        context.add_cleanup(connection.close)
        for _ in range(2):
            await connection.exchange(head, b"x" * size, 5.0)

    loops.run(context, exchange())


@then("its connection has never paused reading")
def never_paused(context):
    [connection] = context.server._connections
    assert connection._reader.limits_count
