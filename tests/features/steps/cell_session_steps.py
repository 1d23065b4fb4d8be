"""Steps for the session of one worker, without a leader."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import runs
from marigoldgap.cell import worker_session
from tests.fixtures import cell_world
from tests.fixtures import loops

# Time that the worker takes to answer.
_ANSWER_S = 0.01
# Time in which a session that goes on would renew the lease again.
_NEXT_RENEWAL_S = 0.2


class _Listener:
    """Handles one ended run, whose end is stored when the test says so."""

    epoch = 1

    def __init__(self):
        self.ready = asyncio.Event()
        self.ready.set()
        self.awaited = None

    def on_listing(self, worker, listing, sent_s):
        worker.contact = fleet.Contact.ANSWERING
        worker.handled_number = 1

    def stored(self, job_ids):
        self.awaited = asyncio.get_running_loop().create_future()
        return self.awaited


class _Port:
    """Answers each renewal with an empty listing."""

    def __init__(self):
        self.renewals = 0

    async def renew(self, *arguments):
        self.renewals += 1
        await asyncio.sleep(_ANSWER_S)
        return model.WorkerListing(1_000, 1, (), ())


@given("a session that waits until the end of a run is stored")
def waiting_session(context):
    context.listener = _Listener()
    context.port = _Port()

    async def begin():
        address = cell_world.free_address()
        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(_ignore, host, int(port))
        context.add_cleanup(server.close)
        registration = model.Registration(
            "w1",
            "claims",
            address,
            "a",
            False,
            model.Demand(),
            frozenset(),
            "",
            1,
        )
        worker = fleet.Worker(registration, 0.0)
        session = worker_session.WorkerSession(
            context.listener, worker, context.port
        )
        context.session = asyncio.create_task(session.run())
        await loops.until(lambda: context.listener.awaited is not None)

    loops.run(context, begin())


async def _ignore(reader, writer):
    await reader.read()
    writer.close()


@when("the end is stored and the session is cancelled at the same moment")
def store_and_cancel(context):
    async def finish():
        context.renewals = context.port.renewals
        context.listener.awaited.set_result(None)
        context.session.cancel()
        await asyncio.sleep(_NEXT_RENEWAL_S)

    loops.run(context, finish())


@then("the session ends without a further renewal")
def ended(context):
    assert context.session.done()
    assert context.port.renewals == context.renewals


@then(
    "a worker without runs among {workers:d} is renewed {pause:g} s after an"
    " answer"
)
def idle_pause(context, workers, pause):
    assert worker_session.idle_pause_s(workers) == pause


class _IdleListener:
    """A large cell in which the worker has no runs."""

    epoch = 1

    def __init__(self):
        self.ready = asyncio.Event()
        self.ready.set()

    def on_listing(self, worker, listing, sent_s):
        worker.contact = fleet.Contact.ANSWERING

    def on_silent(self, worker, cause):
        worker.contact = fleet.Contact.SILENT

    def may_start(self):
        return True

    def limit_lease_s(self, lease_s):
        return lease_s

    def idle_pause_s(self):
        return worker_session.idle_pause_s(3_000)


@given("a session with a worker without runs in a large cell")
def idle_session(context):
    context.port = _Port()
    context.connections = []

    async def accept(reader, writer):
        context.connections.append(writer)
        await reader.read()
        writer.close()

    async def begin():
        address = cell_world.free_address()
        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(accept, host, int(port))
        context.add_cleanup(server.close)
        registration = model.Registration(
            "w1",
            "claims",
            address,
            "a",
            False,
            model.Demand(),
            frozenset(),
            "",
            1,
        )
        context.worker = fleet.Worker(registration, 0.0)
        context.idle_session = worker_session.WorkerSession(
            _IdleListener(), context.worker, context.port
        )
        session = asyncio.create_task(context.idle_session.run())
        context.add_cleanup(session.cancel)
        await loops.until(lambda: context.port.renewals >= 2)

    loops.run(context, begin())


@then("it renews the lease at most {count:d} times in {seconds:g} s")
def renews_rarely(context, count, seconds):
    loops.run(context, asyncio.sleep(seconds))
    assert context.port.renewals <= count, context.port.renewals


@when("a run is started on the worker")
def start_run(context):
    context.renewals = context.port.renewals

    async def start():
        # It is known to have ended, so that no command is sent.
        run = SimpleNamespace(state=runs.RunState.STOPPING, is_sent=False)
        await context.idle_session.start(run, "")

    loops.run(context, start())


@when("the worker closes the connection")
def close_connection(context):
    context.renewals = context.port.renewals

    async def close():
        context.connections[0].close()

    loops.run(context, close())


@then("it renews the lease again within {seconds:g} s")
def renews_soon(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            await loops.until(lambda: context.port.renewals > context.renewals)

    loops.run(context, wait())
