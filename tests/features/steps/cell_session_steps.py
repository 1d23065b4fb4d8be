"""Steps for the session of one worker, without a leader."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import fleet
from marigoldgap.cell import model
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
