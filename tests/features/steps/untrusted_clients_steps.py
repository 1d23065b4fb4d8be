"""Steps for processes that serve hostile clients."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import tempfile

from behave import given
from behave import then
from behave import when

from marigoldgap.web import client
from marigoldgap.web import messages
from marigoldgap.web import request_heads
from soak import instances
from tests.fixtures import cell_world
from tests.fixtures import loops
from tests.standins import hostile_clients
from tests.standins.cell import store as store_standin

_KIB_PER_MB = 1_024
# Ends a scenario that hangs; the result of no scenario depends on its length.
_HANG_TIMEOUT_S = 120
_TRIES = 60
_RETRY_S = 0.25
_ANSWER_TIMEOUT_S = 4.0
_NO_JOB = "0123456789abcdef"
_SLOW_JOB = "fedcba9876543210"
_REFUSALS = frozenset({400, 408, 413, 414, 429, 431, 503})
_REQUEST_TEMPLATE = (
    "{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    "Authorization: Token {key}\r\nX-Deadline-Ms: 6000\r\n"
    "Content-Length: {length}\r\n\r\n{body}"
)
_JOB = '{"spec":"ms=1","steps":[{"count":1,"cpu":1000,"memMb":1}]}'


@given("a process with {memory_mb:d} MB of memory and {count:d} descriptors")
def start_process(context, memory_mb, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.store = store_standin.StoreStandIn(cell_world.free_address())
    context.clients = []
    loops.run(context, context.store.start())
    context.add_cleanup(context.store.stop)
    context.store.put("op", "", "config", cell_world.configuration())
    context.process = instances.Instance(
        "e0",
        pathlib.Path(folder.name),
        tuple(cell_world.free_address() for _ in range(3)),
        context.store.address,
        limits={"memoryMb": memory_mb, "maxFds": count},
    )
    context.process.start()
    context.add_cleanup(context.process.wait, _ANSWER_TIMEOUT_S)
    context.add_cleanup(context.process.send_signal, signal.SIGKILL)
    context.add_cleanup(_close_clients, context)
    context.most_descriptors = 0
    loops.run(context, _ask_until_answered(context), _HANG_TIMEOUT_S)


def _close_clients(context):
    for each in context.clients:
        each.close()


async def _ask_until_answered(context):
    """Sends an ordinary request until it is answered."""
    failure = None
    for _ in range(_TRIES):
        assert context.process.is_running, "the process has ended"
        try:
            connection = await client.connect(context.process.callers_address)
            head = request_heads.encode(
                "GET",
                cell_world.HOST,
                cell_world.PREFIX + _NO_JOB,
                0,
                (("Authorization", f"Token {cell_world.KEY}"),),
            )
            try:
                response = await connection.exchange(
                    head, b"", _ANSWER_TIMEOUT_S
                )
            finally:
                connection.close()
            if response.status == 410:
                return
            failure = response
        except messages.ExchangeError as error:
            failure = error
        await asyncio.sleep(_RETRY_S)
    raise AssertionError(f"no answer: {failure!r}")


def _address(context, kind):
    return {
        "callers": context.process.callers_address,
        "readiness": context.process.readiness_address,
        "peers": context.process.peers_address,
        "metrics": context.process.metrics_address,
    }[kind]


def _request(method, job_id, body=""):
    return _REQUEST_TEMPLATE.format(
        method=method,
        path=cell_world.PREFIX + job_id,
        host=cell_world.HOST,
        key=cell_world.KEY,
        length=len(body),
        body=body,
    ).encode()


def _observe(context):
    assert context.process.is_running, "the process has ended"
    context.most_descriptors = max(
        context.most_descriptors, context.process.open_descriptors
    )


def _run_crowd(context, crowd):
    async def run():
        running = asyncio.create_task(crowd)
        while not running.done():
            _observe(context)
            await asyncio.wait({running}, timeout=0.05)
        context.clients = await running

    loops.run(context, run(), _HANG_TIMEOUT_S)


@when("hostile clients send {name}")
def send(context, name):
    is_slow = name.endswith("being answered")
    target = hostile_clients.Target(
        context.process.callers_address,
        _request("GET", _NO_JOB),
        _request("POST", _SLOW_JOB, _JOB),
    )
    # The submission is being answered until the store answers.
    context.store.is_silent = is_slow
    _run_crowd(context, hostile_clients.CROWDS[name](target))
    context.store.is_silent = False


@when(
    "hostile clients of its address for {kind} leave {count:d} responses unread"
)
def leave_unread(context, kind, count):
    target = hostile_clients.Target(_address(context, kind))
    rounds = count // hostile_clients.UNREAD_PER_ROUND
    _run_crowd(context, hostile_clients.leave_unread(target, rounds))


@when("hostile clients of its address for {kind} open {count:d} connections")
def open_only(context, kind, count):
    target = hostile_clients.Target(_address(context, kind))
    _run_crowd(
        context,
        hostile_clients.open_only(target, count, lambda: _observe(context)),
    )


@then("the process runs with at most {size:d} MB and {count:d} descriptors")
def stays_small(context, size, count):
    _observe(context)
    peak_kb = context.process.peak_memory_kb
    figures = f"{peak_kb} KiB, {context.most_descriptors} descriptors"
    assert peak_kb <= size * _KIB_PER_MB, figures
    assert context.most_descriptors <= count, figures


@then("each response to them beyond the first is a refusal")
def refused(context):
    for each in context.clients:
        assert _REFUSALS.issuperset(each.statuses()[1:]), each.statuses()


@then("an ordinary request is answered")
def ordinary_answered(context):
    loops.run(context, _ask_until_answered(context), _HANG_TIMEOUT_S)
    _observe(context)
