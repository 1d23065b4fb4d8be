"""Steps for limits on connections, requests and responses."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when

from marigoldgap import clock
from marigoldgap import measures
from marigoldgap.web import client
from marigoldgap.web import connection_budget
from marigoldgap.web import limit_log
from marigoldgap.web import limits
from marigoldgap.web import messages
from marigoldgap.web import request_reader
from tests.fixtures import cell_world
from tests.fixtures import loops

_BYTES_PER_MB = 1_000_000


@given("the connections")
def set_connections(context):
    context.states = {
        row["name"]: connection_budget.ConnectionState(
            connection_budget.Phase[row["phase"].upper()],
            float(row["since_s"]),
            int(row["held_bytes"]),
        )
        for row in context.table
    }


@when("{connections:d} connections and {surplus:d} bytes are too much")
def select(context, connections, surplus):
    context.selected = connection_budget.select(
        context.states, connections, surplus
    )


@then("{names} are dropped")
def dropped(context, names):
    expected = [] if names == "none" else names.split(", ")
    assert context.selected == expected, context.selected


@given("a machine with {memory_mb:d} MB and {max_fds:d} descriptors")
def derive_limits(context, memory_mb, max_fds):
    context.max_fds = max_fds
    context.limits = limits.derive(memory_mb, max_fds)


@then("its clients may hold {connections:d} connections and {held_mb:g} MB")
def may_hold(context, connections, held_mb):
    found = context.limits
    assert found.connections == connections, found
    assert found.held_bytes == held_mb * _BYTES_PER_MB, found


@then("callers may hold {count:d} connections")
def callers_may_hold(context, count):
    assert context.limits.callers == count, context.limits


@then("{count:d} connections to workers fit beside those of its clients")
def workers_fit(context, count):
    free = context.max_fds - limits.RESERVED_FDS - context.limits.connections
    assert free >= count, context.limits


_CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
_GET = b"GET /x HTTP/1.1\r\nHost: y\r\n\r\n"
_READ = {
    "a request": _GET,
    "a header of almost 1000 bytes": b"GET / HTTP/1.1\r\nA: "
    + b"x" * 990
    + b"\r\n\r\n",
    "a body of 60000 bytes": b"POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"
    + b"x" * 60_000,
    "12000 bytes in chunks of 600": _CHUNKED
    + (b"258\r\n" + b"x" * 600 + b"\r\n") * 20
    + b"0\r\n\r\n",
    "two requests with an empty line": _GET + b"\r\n" + _GET,
    "16 requests": _GET * 16,
}
# What arrives first and what arrives again and again.
_ENDLESS = {
    "an endless header value": (b"GET / HTTP/1.1\r\nA: ", b"x"),
    "an endless header name": (b"GET / HTTP/1.1\r\n", b"x"),
    "an endless target": (b"GET /", b"x"),
    "endless spaces": (b"GET / HTTP/1.1\r\nA:", b" "),
    "endless empty lines": (b"", b"\r\n"),
    "endless headers": (b"GET / HTTP/1.1\r\n", b"A: xxxxxxxxx\r\n"),
    "endless empty headers": (b"GET / HTTP/1.1\r\n", b"A:\r\n"),
    "endless chunk extensions": (_CHUNKED + b"1;", b"x"),
    "endless small chunks": (_CHUNKED, b"1\r\nx\r\n"),
    "an endless trailer": (_CHUNKED + b"0\r\nT: ", b"x"),
    "endless trailers": (_CHUNKED + b"0\r\n", b"T: x\r\n"),
    "an endless body": (
        b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
        b"x",
    ),
    "endless requests": (b"", _GET),
}
# More than any limit of the reader.
_MAX_FED_BYTES = 1_000_000


@given(
    "a reader of requests with heads of {head:d} bytes and bodies of {body:d}"
)
def create_reader(context, head, body):
    http_limits = limits.HttpLimits(header_bytes=head, body_bytes=body)
    context.reader = request_reader.RequestReader(lambda: http_limits)
    context.fed_bytes = 0


def _feed(context, content, size):
    for first in range(0, len(content), size):
        if context.reader.rejection is not None:
            return
        part = content[first : first + size]
        context.fed_bytes += len(part)
        context.reader.feed(part)


@when("{name} arrives in parts of {size:d} bytes")
def feed_all(context, name, size):
    _feed(context, _READ[name], size)


@when("{name} arrives in parts of {size:d} bytes until it is rejected")
def feed_endless(context, name, size):
    first, repeated = _ENDLESS[name]
    _feed(context, first, max(len(first), 1))
    # Whole repetitions, so that the parts continue each other.
    piece = repeated * size
    while context.reader.rejection is None:
        assert context.fed_bytes < _MAX_FED_BYTES
        _feed(context, piece, size)


@then("{count:d} requests were read and none is rejected")
def were_read(context, count):
    assert context.reader.rejection is None, context.reader.rejection
    assert len(context.reader.complete) == count, context.reader.complete


@then('the rejection is {status:d} for "{limit}" after at most {most:d} bytes')
def was_rejected(context, status, limit, most):
    rejection = context.reader.rejection
    assert (rejection.status, rejection.limit) == (status, limit), rejection
    assert context.fed_bytes <= most, context.fed_bytes


@then("the reader holds nothing")
def holds_nothing(context):
    assert context.reader.partial_bytes == 0, context.reader.partial_bytes
    assert not context.reader.is_reading


@when('a chunked request with a trailer "Authorization" arrives')
def feed_trailer(context):
    head = (
        b"POST / HTTP/1.1\r\nAuthorization: Token a\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    rest = b"1\r\nx\r\n0\r\nAuthorization: Token b\r\n\r\n"
    _feed(context, head + rest + _GET, 10)


@then("its headers are those before its body")
def own_headers(context):
    first, second = (each.request for each in context.reader.complete)
    assert first.headers["authorization"] == "Token a", first
    assert second.headers == {"host": "y"}, second


@when("a request and a half arrive at once")
def feed_and_half(context):
    context.reader.feed(_GET + _GET[:20])


@then("a request is being read")
def is_reading(context):
    assert context.reader.is_reading


_OK = b"HTTP/1.1 200 OK\r\n"
_OK_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_RESPONSES = {
    "an endless header": (_OK + b"A: ", b"x" * 1_000),
    "endless headers": (_OK, b"A: xxxxxxxxxxxx\r\n"),
    "an endless body": (_OK + b"\r\n", b"x" * 1_000),
    "a too large body": (
        _OK + b"Content-Length: 100001\r\n\r\n" + b"x" * 100_001,
        b"",
    ),
    "endless chunk extensions": (_OK_CHUNKED + b"1;", b"x" * 1_000),
    "endless small chunks": (_OK_CHUNKED, b"1\r\nx\r\n"),
    "endless trailers": (_OK_CHUNKED + b"0\r\n", b"T: xxxxxxxx\r\n"),
    "a slow endless body": (_OK + b"\r\n", b"x"),
    "a body of 100000 bytes in small chunks": (
        _OK_CHUNKED + (b"1f4\r\n" + b"x" * 500 + b"\r\n") * 200 + b"0\r\n\r\n",
        b"",
    ),
}
# More than any limit of the client, which ends the connection before.
_MAX_SENT_BYTES = 20_000_000
_WRITE_BYTES = 16_384
_SLOW_PAUSE_S = 0.02


@given("a server that responds with {name}")
def serve_response(context, name):
    first, repeated = _RESPONSES[name]
    context.sent_bytes = 0

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(first)
        is_slow = name.startswith("a slow")
        size = 1 if is_slow else _WRITE_BYTES
        piece = repeated * (size // max(len(repeated), 1) + 1)
        try:
            while repeated and context.sent_bytes < _MAX_SENT_BYTES:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(_SLOW_PAUSE_S if is_slow else 0)
                context.sent_bytes += len(piece)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def start():
        context.address = cell_world.free_address()
        host, _, port = context.address.rpartition(":")
        context.raw_server = await asyncio.start_server(serve, host, int(port))

    loops.run(context, start())
    context.add_cleanup(context.raw_server.close)


@when("a client sends a request with a limit of {size:d} bytes")
def exchange_with_limit(context, size):
    context.outcome = loops.outcome(
        context,
        client.HttpPool().exchange(
            "GET", context.address, "/", timeout_s=20.0, max_body_bytes=size
        ),
    )


@when(
    "a client sends a request whose parts may take {part_s:g} s and all of it"
    " {all_s:g} s"
)
def exchange_in_bulk(context, part_s, all_s):
    pool = client.HttpPool()
    with mock.patch.object(client, "_MAX_BULK_S", all_s):
        context.outcome = loops.outcome(
            context,
            pool.exchange(
                "GET", context.address, "/", timeout_s=part_s, is_bulk=True
            ),
        )


@then("the exchange fails with an unknown outcome in time")
def exchange_timed_out(context):
    error = context.outcome
    assert isinstance(error, messages.NoAnswerError), type(error)
    assert "timeout" in str(error), error


@then("the exchange fails with an unknown outcome")
def exchange_failed(context):
    error = context.outcome
    assert isinstance(error, messages.NoAnswerError), type(error)
    assert "too large" in str(error), error


@then("the server has sent at most {size:d} MB")
def sent_at_most(context, size):
    assert context.sent_bytes <= size * _BYTES_PER_MB, context.sent_bytes


@then("the response has {size:d} bytes")
def response_size(context, size):
    assert len(context.outcome.body) == size, type(context.outcome)


@given("a log of limits")
def create_limit_log(context):
    context.limit_log = limit_log.LimitLog("test")
    context.lines = []
    logger = mock.patch.object(
        limit_log._log,
        "warning",
        lambda event, **fields: context.lines.append(fields),
    )
    logger.start()
    context.add_cleanup(logger.stop)


@when("each of {sources:d} sources reaches a limit {count:d} times")
def reach_limit(context, sources, count):
    before = _counted()
    for _ in range(count):
        for number in range(sources):
            context.limit_log.record("rejected", "size", f"10.0.0.{number}")
    context.counted = _counted() - before


def _counted():
    return measures.LIMITED_CLIENTS.labels("test", "size")._value.get()


@then("{lines:d} lines are logged and {count:d} rejections are counted")
def logged_and_counted(context, lines, count):
    assert len(context.lines) == lines, context.lines
    assert context.counted == count, context.counted


@then("a line after {wait_s:d} s says that {count:d} were left out")
def says_left_out(context, wait_s, count):
    late_s = clock.now_s() + wait_s
    with mock.patch.object(clock, "now_s", lambda: late_s):
        context.limit_log.record("rejected", "size", "10.0.0.0")
    assert context.lines[-1]["left_out"] == count, context.lines
