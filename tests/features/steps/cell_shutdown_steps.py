"""Steps for the graceful shutdown of an instance."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import tempfile

from behave import given
from behave import then
from behave import when

from marigoldgap import clock
from marigoldgap.cell import records
from marigoldgap.cell import store
from marigoldgap.web import client
from marigoldgap.web import messages
from marigoldgap.web import request_heads
from soak import instances
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import log_lines
from tests.fixtures import loops
from tests.fixtures import stopwatch

# Longer than the shutdown, so that no deadline ends a request before it.
_DEADLINE_S = 20.0
_METHODS = {
    "a submission": "POST",
    "a query": "GET",
    "a cancellation": "DELETE",
}
_FAST_S = 0.3
_POLL_S = 0.05
_RELEASE_ERRORS = {
    "succeeds": None,
    "is refused": store.StoreRefusedError("busy"),
    "fails unexpectedly": KeyError("row"),
}
# Time of a call to the store while an instance claims the leadership.
_CLAIM_S = 0.2


async def _connect(context):
    instance = context.world.leader()
    context.instance = instance
    context.connection = await client.connect(instance.settings.callers_address)


def _encode(method, job_id):
    body = json.dumps(cell_world.job()).encode() if method == "POST" else b""
    head = request_heads.encode(
        method,
        cell_world.HOST,
        cell_world.PREFIX + job_id,
        len(body),
        (
            ("Authorization", f"Token {cell_world.KEY}"),
            ("X-Deadline-Ms", str(int(_DEADLINE_S * 1000))),
        ),
    )
    return head, body


async def _send(context, method):
    """Sends a request; returns its response and the time that it took."""
    head, body = _encode(method, cell_jobs.JOB)
    return await stopwatch.timed(
        context.connection.exchange(head, body, _DEADLINE_S)
    )


@when("the store is silent and a caller sends {request} on an open connection")
def send_to_silent_store(context, request):
    async def send():
        await _connect(context)
        context.world.store.is_silent = True
        # A timeout of the store client would end a query before the shutdown.
        timeouts = context.instance._rows._timeout
        timeouts.record_response(_DEADLINE_S)
        context.exchange = asyncio.create_task(
            _send(context, _METHODS[request])
        )
        await loops.until(lambda: not context.instance._callers.is_idle)

    loops.run(context, send())


@when("the store is silent and a caller sends two submissions at once")
def send_two(context):
    async def send():
        context.instance = context.world.leader()
        context.world.store.is_silent = True
        address = context.instance.settings.callers_address
        reader, writer = await asyncio.open_connection(*address.split(":"))
        for job_id in (cell_jobs.JOB, cell_jobs.OTHER_JOB):
            head, body = _encode("POST", job_id)
            writer.write(head + body)
        context.exchange = asyncio.create_task(reader.read())
        context.add_cleanup(writer.close)
        await loops.until(lambda: not context.instance._callers.is_idle)

    loops.run(context, send())


@when("a caller has an open connection")
def open_connection(context):
    loops.run(context, _connect(context))


@when("the instance is asked to stop")
def request_stop(context):
    context.instance.request_stop()


@given("the store answers the release of leadership after {delay_s:d} s")
def delay_release(context, delay_s):
    context.instance = context.world.leader()
    election = context.instance._election
    release = election.release

    async def release_late(won, was_obeyed):
        await asyncio.sleep(delay_s)
        await release(won, was_obeyed)

    election.release = release_late


@when("the leader is asked to stop several times and to reload its settings")
def request_stop_often(context):
    async def request():
        context.stopwatch = stopwatch.Stopwatch()
        context.ticks = asyncio.create_task(context.stopwatch.run())
        request_stop(context)
        for _ in range(3):
            await asyncio.sleep(0.2)
            context.instance._reload()
            context.instance.request_stop()

    loops.run(context, request())


@when(
    "a submission arrives on that connection {left_s:d} s before the process"
    " must end"
)
def submit_late(context, left_s):
    async def submit():
        shutdown_s = context.instance.settings.shutdown_s
        await asyncio.sleep(shutdown_s - 1.0 - left_s)
        context.world.store.is_silent = True
        return await _send(context, "POST")

    context.response, context.took_s = loops.run(context, submit())


@when("a submission arrives on that connection at once")
def submit_early(context):
    context.response, _ = loops.run(context, _send(context, "POST"))


@then("the caller gets {status:d} with the code {code} before the process ends")
def answered(context, status, code):
    response, _ = loops.run(context, context.exchange)
    assert response.status == status, response
    assert response.json()["error"] == code, response


@then("the first one gets {first:d} and the second one {second:d}")
def both_answered(context, first, second):
    content = loops.run(context, context.exchange)
    statuses = [int(each[:3]) for each in content.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [first, second], content


@then("it is answered at once with 503, to be retried elsewhere at once")
def rejected_at_once(context):
    assert context.response.status == 503, context.response
    assert context.response.json()["retryAfterMs"] == 0, context.response
    assert context.took_s < _FAST_S, context.took_s
    context.world.store.is_silent = False


@then("it is answered with 200")
def accepted(context):
    assert context.response.status == 200, context.response


@then("the process has ended {margin_s:g} s before it would be killed")
def ended_in_time(context, margin_s):
    loops.run(context, context.instance.serving)
    took_s = context.stopwatch.elapsed_s
    assert took_s < context.instance.settings.shutdown_s - margin_s, took_s


@when("the other instance is asked to stop while it claims the leadership")
def stop_during_claim(context):
    context.instance = context.world.instances[0]
    election = context.instance._election
    claim = election._claim
    is_claiming = asyncio.Event()

    async def claim_slowly(*arguments):
        context.world.store.delay_s = _CLAIM_S
        is_claiming.set()
        return await claim(*arguments)

    async def stop():
        election._claim = claim_slowly
        await is_claiming.wait()
        request_stop(context)

    loops.run(context, stop())


@then("it never schedules")
def never_schedules(context):
    async def watch():
        while not context.instance.serving.done():
            assert context.instance.scheduler is None
            await asyncio.sleep(0.005)

    loops.run(context, watch())


@then("the leadership is released")
def leadership_released(context):
    content = context.world.store.value(*records.ELECTION)
    assert records.decode(content)["is_released"], content


@when("the other instance is asked to stop while it reads to take over")
def stop_during_read(context):
    leader = context.world.leader()
    context.instance = next(
        each for each in context.world.instances if each is not leader
    )
    epoch = leader.scheduler.worker_tracker.epoch

    async def take_over():
        context.election_row = context.world.store.value(*records.ELECTION)
        context.world.store.delay_s = _CLAIM_S
        taking_over = asyncio.create_task(
            context.instance._election.take_over(epoch, "test")
        )
        await asyncio.sleep(_CLAIM_S / 2)
        request_stop(context)
        return await taking_over

    context.is_taken = loops.run(context, take_over())


@then("it declines and the election row is unchanged")
def declined(context):
    assert not context.is_taken, "the election was claimed"
    assert (
        context.world.store.value(*records.ELECTION) == context.election_row
    ), context.world.store.value(*records.ELECTION)


@given("the release of leadership {result}")
def set_release(context, result):
    context.log = log_lines.capture(context)
    error = _RELEASE_ERRORS[result]
    election = context.world.leader()._election
    succeed = election.release

    async def release_or_fail(won, was_obeyed):
        if error is not None:
            raise error
        await succeed(won, was_obeyed)

    election.release = release_or_fail


@given("no instance answers whether it takes over")
def withhold_offers(context):
    context.log = log_lines.capture(context)

    async def offer(epoch):
        del epoch
        await asyncio.Event().wait()

    context.world.leader()._offers.offer = offer


@when("the {name} is asked to stop and has ended")
def stop_and_end(context, name):
    leader = context.world.leader()
    context.instance = next(
        each
        for each in context.world.instances
        if (each is leader) == (name == "leader")
    )
    abort = context.instance.abort

    def note_end():
        context.is_scheduling = context.instance.scheduler is not None
        abort()

    context.instance.abort = note_end
    request_stop(context)
    loops.run(context, context.instance.serving)


@then("the end of the drain is logged with a hand-over that is {outcome}")
def hand_over_logged(context, outcome):
    found = [fields for event, fields in context.log if event == "drained"]
    assert [str(each["is_handed_over"]) for each in found] == [outcome], found


@then("no failed hand-over is logged")
def no_failure_logged(context):
    events = [event for event, _ in context.log]
    assert "hand_over_failed" not in events, events


@then("the error is logged with its stack")
def error_logged(context):
    found = [
        fields for event, fields in context.log if event == "hand_over_failed"
    ]
    assert len(found) == 1 and "KeyError" in found[0]["stack"], found


@then("it had stopped scheduling before its process ended")
def stopped_scheduling(context):
    assert not context.is_scheduling


@given("a process that serves callers")
def start_process(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.process = instances.Instance(
        "suspended",
        pathlib.Path(folder.name),
        tuple(cell_world.free_address() for _ in range(3)),
        context.world.store.address,
    )
    context.process.start()
    context.add_cleanup(context.process.wait, _DEADLINE_S)
    context.add_cleanup(context.process.send_signal, signal.SIGKILL)
    loops.run(context, _connect_to_process(context))


async def _connect_to_process(context):
    """Connects to the process once it has its configuration."""
    address = context.process.callers_address
    head, body = _encode("GET", cell_jobs.OTHER_JOB)
    while True:
        try:
            connection = await client.connect(address)
            response = await connection.exchange(head, body, _DEADLINE_S)
        except messages.ExchangeError:
            await asyncio.sleep(_POLL_S)
            continue
        if response.status == 410:
            context.connection = connection
            return
        connection.close()
        await asyncio.sleep(_POLL_S)


@when("the store is silent and a caller sends a submission to the process")
def submit_to_process(context):
    async def submit():
        context.world.store.is_silent = True
        context.exchange = asyncio.create_task(_send(context, "POST"))
        await asyncio.sleep(_FAST_S)

    loops.run(context, submit())


@when("the process is suspended for {time_s:g} s and gets SIGTERM meanwhile")
def suspend_and_stop(context, time_s):
    async def suspend():
        context.process.send_signal(signal.SIGSTOP)
        context.process.send_signal(signal.SIGTERM)
        context.stopped_s = clock.now_s()
        await asyncio.sleep(time_s)
        context.process.send_signal(signal.SIGCONT)

    loops.run(context, suspend())


@then("the caller gets {status:d} before the process would be killed")
def answered_in_time(context, status):
    response, _ = loops.run(context, context.exchange)
    took_s = clock.now_s() - context.stopped_s
    assert response.status == status, response
    assert took_s < instances.SHUTDOWN_S, took_s


@then("the process ends before it would be killed")
def process_ended_in_time(context):
    left_s = context.stopped_s + instances.SHUTDOWN_S - clock.now_s()
    assert context.process.wait(left_s) == 0, left_s
