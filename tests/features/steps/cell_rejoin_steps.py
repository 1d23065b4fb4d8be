"""Steps for workers that stay unreachable."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import rejoin
from tests.fixtures import log_lines
from tests.fixtures import loops

_WORKER = "unreachable"


@when("a worker joins that accepts no connection")
def join_unreachable(context):
    context.lines = log_lines.capture(context)
    context.world.create_worker(_WORKER).register()


@when("a worker joins that never answers")
def join_mute(context):
    async def keep_open(reader, writer):
        context.open_connections.append(writer)
        await reader.read()

    context.open_connections = []
    context.joined = _record_sessions(context)
    context.worker = context.world.create_worker(_WORKER)
    host, _, port = context.worker.address.rpartition(":")
    context.mute_server = loops.run(
        context, asyncio.start_server(keep_open, host, int(port))
    )
    context.worker.register()


@when("it registers anew during the third session, which fails")
def register_anew(context):
    async def register():
        await loops.until(lambda: context.joined.count(_WORKER) == 3)
        context.worker.born_ms += 1
        context.worker.register()
        tracker = context.world.schedulers[0].worker_tracker
        await loops.until(lambda: tracker.workers.get(_WORKER) is None)
        context.mute_server.close()
        for writer in context.open_connections:
            writer.close()
        await context.worker.start()

    loops.run(context, register())


def _record_sessions(context):
    tracker = context.world.schedulers[0].worker_tracker
    opened = []
    add = tracker.workers.add

    def record(worker):
        opened.append(worker.worker_id)
        add(worker)

    tracker.workers.add = record
    return opened


@then("within {seconds:d} s at most {count:d} sessions with it are opened")
def few_sessions(context, seconds, count):
    opened = _record_sessions(context)
    loops.run(context, asyncio.sleep(seconds))
    assert 1 <= opened.count(_WORKER) <= count, opened


@then("each change of its state is logged once")
def logged_once(context):
    events = [
        event
        for event, fields in context.lines
        if fields.get("worker") == _WORKER
    ]
    assert events == ["worker_joined", "worker_lost", "worker_gone"], events


@given("a worker that was given up {times:d} times")
def given_up(context, times):
    context.rejoins = rejoin.RejoinPauses()
    context.pauses = [context.rejoins.give_up(_WORKER) for _ in range(times)]


@then('the pauses were "{pauses}" s')
def check_pauses(context, pauses):
    assert context.pauses == [float(each) for each in pauses.split()]


@when("the worker has answered and is given up again")
def given_up_again(context):
    context.rejoins.forget(_WORKER)
    context.pauses.append(context.rejoins.give_up(_WORKER))


@then("the last pause was {seconds:d} s")
def last_pause(context, seconds):
    assert context.pauses[-1] == seconds, context.pauses
