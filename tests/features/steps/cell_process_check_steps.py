"""Steps for checks of a worker's process before starts."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap import errors
from marigoldgap.cell import model
from marigoldgap.cell import ports
from marigoldgap.cell import worker_process
from marigoldgap.platform import process_checks
from marigoldgap.platform import worker_client
from marigoldgap.web import client
from tests.fixtures import cell_world
from tests.fixtures import loops
from tests.standins.cell import fleet_runs
from tests.standins.cell import store as store_standin
from tests.standins.cell import worker as worker_standin

_PROCESS = "w0"
_OTHER_PROCESS = "w1"
_CHECKS_STEP = "{count:d} checks of a process that have begun"
_FURTHER_STEP = "{count:d} further checks are requested"
# Turns of the event loop in which finished tasks wake those that wait for them.
_TURNS = 10


class _HeldWorker(worker_standin.WorkerStandIn):
    """Answers lists only once it is released."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.released = asyncio.Event()
        self.lists = 0
        self.connections = set()

    async def _handle_hold(self, body):
        self.lists += 1
        await self.released.wait()
        return await super()._handle_hold(body)


class _Checks:
    """Checks that end when the test says so."""

    def __init__(self):
        self.checks = process_checks.ProcessChecks()
        self.begun = []
        self.callers = []

    async def request(self, count, process=_PROCESS):
        self.callers += [
            asyncio.create_task(self.checks.run(process, self._check))
            for _ in range(count)
        ]
        await self.settle()

    async def settle(self):
        for _ in range(_TURNS):
            await asyncio.sleep(0)

    async def end(self, index, error=None):
        if error is None:
            self.begun[index].set_result(None)
        else:
            self.begun[index].set_exception(error)
        await self.settle()

    async def _check(self):
        end = asyncio.get_running_loop().create_future()
        self.begun.append(end)
        await end


@given("a worker that answers a list when the test says so")
def held_worker(context):
    async def start():
        store = store_standin.StoreStandIn(cell_world.free_address())
        worker = _HeldWorker(
            "w0",
            cell_world.free_address(),
            store,
            fleet_runs.FleetRuns(store),
        )
        await worker.start()
        context.add_cleanup(worker.stop)
        return worker

    context.worker = loops.run(context, start())
    context.starts = []


@when("{count:d} starts arrive together and have all connected")
def start_together(context, count):
    worker = context.worker
    registration = model.Registration(
        worker.worker_id,
        worker.service,
        worker.address,
        worker.zone,
        False,
        model.Demand(16_000, 65_536, 0),
        frozenset(),
        "",
        worker.born_ms,
    )
    port = worker_client.WorkerClient(client.HttpPool())
    before = client.Connection.open_count

    async def run():
        for position in range(count):
            name = model.RunName(model.TaskName("a1", 0, 0, position), 1)
            context.starts.append(
                asyncio.create_task(
                    port.start(
                        registration,
                        ports.StartCommand(
                            name,
                            "ms=60000",
                            worker_process.of_registration(registration),
                            5_000,
                            1,
                        ),
                        5.0,
                    )
                )
            )
        await loops.until(
            lambda: client.Connection.open_count >= before + count
            and worker.lists
        )
        # Requests that were sent arrive.
        await asyncio.sleep(0.05)

    loops.run(context, run())


@then("the worker is asked for at most {count:d} lists at a time")
@then("the worker was asked for at most {count:d} lists")
def few_lists(context, count):
    assert 0 < context.worker.lists <= count, context.worker.lists


@when("the worker answers its lists")
def release(context):
    async def run():
        context.worker.released.set()
        await asyncio.gather(*context.starts)

    loops.run(context, run())


@then("all {count:d} tasks run")
def all_run(context, count):
    assert len(context.worker.running) == count, context.worker.running


@given(_CHECKS_STEP)
def begin_checks(context, count):
    async def run():
        context.checks = _Checks()
        await context.checks.request(count)

    loops.run(context, run())
    check_begun(context, count)


@given(_FURTHER_STEP)
@when(_FURTHER_STEP)
def request_further(context, count):
    context.first_further = len(context.checks.callers)
    loops.run(context, context.checks.request(count))


@when("a check of another process is requested")
def request_other(context):
    loops.run(context, context.checks.request(1, _OTHER_PROCESS))


@when("a check ends")
def end_check(context):
    loops.run(context, context.checks.end(0))


@when("a check is requested and another one ends")
def request_and_end(context):
    async def run():
        await context.checks.request(1)
        await context.checks.end(1)

    loops.run(context, run())


@when("the first of the further checks is cancelled")
def cancel_first(context):
    async def run():
        context.checks.callers[context.first_further].cancel()
        await context.checks.settle()

    loops.run(context, run())


@when("all checks end")
def end_all(context):
    async def run():
        for each in context.checks.begun:
            if not each.done():
                each.set_result(None)
        await context.checks.settle()

    loops.run(context, run())


@when("all checks end, the last one with an error")
def end_with_error(context):
    async def run():
        await context.checks.end(0)
        await context.checks.end(4, errors.MarigoldgapError("not confirmed"))
        for index in (1, 2, 3):
            await context.checks.end(index)

    loops.run(context, run())


@then("{count:d} checks have begun")
def check_begun(context, count):
    found = len(context.checks.begun)
    assert found == count, found


@then("{succeeded:d} checks have succeeded and {failed:d} have failed")
def check_outcomes(context, succeeded, failed):
    ended = [each for each in context.checks.callers if not each.cancelled()]
    assert all(each.done() for each in ended), ended
    found = [each.exception() for each in ended]
    outcomes = found.count(None), len(found) - found.count(None)
    assert outcomes == (succeeded, failed), found
