"""Steps for requests on a worker."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap import http_client
from tests.features.steps import workers_fleet_steps
from tests.fixtures import loops
from tests.fixtures import scripted_worker


def run_request(context, task_id):
    task = workers_fleet_steps.make_task(task_id)
    payload = task_id.encode()
    return context.fleet.run_request("w1", task, payload)


@given("a worker request was answered on a connection that stays open")
def earlier_request(context):
    answer = loops.run(context, run_request(context, "earlier"))
    assert answer.body == b"answer to earlier"


@when('a worker request meets the fault "{fault}"')
def request_meets_fault(context, fault):
    context.worker.faults = [fault]
    context.result = loops.outcome(context, run_request(context, "t1"))


@then('the worker request fails with "{code}"')
def request_fails(context, code):
    assert context.result.code == code, context.result


@then("the start arrived at the worker once")
def arrived_once(context):
    assert context.worker.starts.count("t1") == 1, context.worker.starts


@when("a worker request is cancelled before its late answer")
def cancelled_request(context):
    async def cancel_waiting():
        context.worker.faults = ["late"]
        waiting = asyncio.create_task(run_request(context, "cancelled"))
        await loops.until(lambda: "cancelled" in context.worker.starts)
        waiting.cancel()
        await asyncio.wait([waiting])

    loops.run(context, cancel_waiting())


@then("the next worker requests get their own answers")
def own_answers(context):
    for number in range(5):
        answer = loops.run(context, run_request(context, f"next{number}"))
        assert answer.body == f"answer to next{number}".encode()
        loops.run(context, asyncio.sleep(0.05))


@then("12 parallel worker requests with shuffled delays get their own answers")
def parallel_requests(context):
    async def run_all(batch, faults):
        context.worker.faults = list(faults)
        names = [f"b{batch}-{number}" for number in range(len(faults))]
        return names, await asyncio.gather(
            *(run_request(context, name) for name in names)
        )

    batches = iter(range(1_000))

    @hypothesis.settings(max_examples=5)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(["", "late"]), min_size=12, max_size=12
        )
    )
    def check(faults):
        names, answers = loops.run(context, run_all(next(batches), faults))
        for name, answer in zip(names, answers, strict=True):
            assert answer.body == f"answer to {name}".encode()

    check()


class _Server:
    """Answers a number of exchanges on a connection and then closes it."""

    def __init__(self, answers, closes_idle):
        self.received = 0
        self.connections = 0
        self._answers = answers
        self._closes_idle = closes_idle
        self.closed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        try:
            await self._answer(reader, writer)
        except (asyncio.CancelledError, asyncio.IncompleteReadError):
            writer.close()

    async def _answer(self, reader, writer):
        self.connections += 1
        for _ in range(self._answers):
            await reader.readuntil(b"\r\n\r\n")
            self.received += 1
            scripted_worker.send(writer, 200, b"whole")
        if not self._closes_idle:
            await reader.readuntil(b"\r\n\r\n")
            self.received += 1
        writer.close()
        await writer.wait_closed()
        self.closed.set()


@when("a GET on a reused connection loses its answer")
def lost_get(context):
    async def exchange_twice():
        server = _Server(answers=1, closes_idle=False)
        address = await server.start()
        client = http_client.HttpClient(1)
        await client.exchange("GET", address, "/first")
        try:
            await client.exchange("GET", address, "/second")
        finally:
            await asyncio.sleep(0.05)
            context.received = server.received

    context.result = loops.outcome(context, exchange_twice())


@then('the GET fails with "{code}" and arrived once')
def get_fails(context, code):
    assert context.result.code == code, context.result
    assert context.received == 2


@when("the server closes an idle connection before the next exchange")
def idle_close(context):
    async def exchange_twice():
        context.server = _Server(answers=1, closes_idle=True)
        address = await context.server.start()
        client = http_client.HttpClient(1)
        await client.exchange("POST", address, "/first", body=b"1")
        await context.server.closed.wait()
        await asyncio.sleep(0.02)
        return await client.exchange("POST", address, "/second", body=b"2")

    context.result = loops.outcome(context, exchange_twice())


@then("the next exchange succeeds on another connection")
def next_succeeds(context):
    assert context.result.body == b"whole", context.result
    assert context.server.connections == 2


@when("an exchange goes to a port on which nothing listens")
def refused_exchange(context):
    async def exchange():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        client = http_client.HttpClient(1)
        return await client.exchange("POST", f"127.0.0.1:{port}", "/")

    context.result = loops.outcome(context, exchange())


@then('the exchange fails with "{code}"')
def exchange_fails(context, code):
    assert context.result.code == code, context.result
