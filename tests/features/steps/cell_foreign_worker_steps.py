"""Steps for workers of other systems and of services that come and go."""

from __future__ import annotations

import asyncio
import json

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import fence_refusals
from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.web import server
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops

_FOREIGN_TASK = "00000000000000f1.0.0.0"
_LATER_PREFIX = "/later/"
_CONTACTS = {
    "answer": fleet.Contact.ANSWERING,
    "have not answered yet": fleet.Contact.JOINING,
    "are silent": fleet.Contact.SILENT,
}


def _add_worker(context, name, received=None, **attributes):
    """Starts a worker; its requests are added to a list, unless it is None."""

    async def start():
        worker = context.world.create_worker(name)
        for attribute, value in attributes.items():
            setattr(worker, attribute, value)
        if received is not None:
            _record(worker, received)
        await worker.start()
        return worker

    return loops.run(context, start())


def _record(worker, received):
    handle = worker._handle

    async def record(request):
        received.append(request.path)
        return await handle(request)

    worker._server = server.HttpServer(record)


@when(
    "a worker of another system, with the token {token:d}, registers a service"
    " that is not configured"
)
def add_foreign(context, token):
    context.commands = []
    context.worker = _add_worker(
        context,
        "foreign",
        context.commands,
        service="another-service",
        fence=token,
        # No lease of this cell keeps the task alive.
        lease_until_ms=1e12,
        running={_FOREIGN_TASK: {"run": 1, "spec": "ms=60000"}},
    )


@then("the worker of the other system has received no command in {seconds:d} s")
def no_command(context, seconds):
    loops.run(context, asyncio.sleep(seconds))
    assert not context.commands, context.commands


@then("it still runs its task")
def still_runs(context):
    assert _FOREIGN_TASK in context.worker.running


@when("a further worker registers that has seen the token {token:d}")
def add_fenced(context, token):
    context.commands = []
    context.worker = _add_worker(context, "w9", context.commands, fence=token)


@when("it renews its registration each {pause:g} s for {seconds:d} s")
def renew_registration(context, pause, seconds):
    async def renew():
        store = context.world.store
        row_key = "servers", "", context.worker.worker_id
        for _ in range(int(seconds / pause)):
            store.put(*row_key, store.value(*row_key))
            await asyncio.sleep(pause)

    loops.run(context, renew())


@then("it has received at most {count:d} commands")
def few_commands(context, count):
    assert 0 < len(context.commands) <= count, context.commands


@when(
    "all workers but the first have seen the token {token:d}, one each"
    " {pause:g} s"
)
def fence_others(context, token, pause):
    async def fence():
        for worker in context.world.workers[1:]:
            worker.fence = token
            await asyncio.sleep(pause)

    loops.run(context, fence())


@when("the second worker has seen the token {token:d}")
def fence_second(context, token):
    context.world.workers[1].fence = token


@when("all workers have seen the token {token:d}")
def fence_all(context, token):
    for worker in context.world.workers:
        worker.fence = token


@when("the second worker refuses starts for their token")
def refuse_starts(context):
    worker = context.world.workers[1]

    async def refuse(body):
        return worker._answer({"reason": "fence"}, 409)

    worker._start = refuse


@when("it starts again and has seen no token")
def restart(context):
    async def crash():
        context.worker.crash()

    loops.run(context, crash())


@then("{count:d} jobs complete under the same leader")
def jobs_complete(context, count):
    async def complete():
        body = cell_world.job(4, "ms=100", cpu=8_000)
        for number in range(count):
            job_id = f"{number:016x}"
            status, _ = await context.world.call("POST", job_id, body)
            assert status == 200, status
            await context.world.wait_for_state(job_id, "completed")

    loops.run(context, complete())
    (scheduler,) = context.world.schedulers
    assert scheduler.worker_tracker.epoch == 1, scheduler.worker_tracker.epoch


@then("a leader with the token {token:d} is elected")
def elected_with(context, token):
    def is_elected():
        return any(
            each.worker_tracker.epoch >= token
            for each in context.world.schedulers
        )

    loops.run(context, loops.until(is_elected))


@when('a worker registers the service "{service}"')
def add_worker_of(context, service):
    _add_worker(context, "w9", service=service)
    loops.run(context, asyncio.sleep(1.0))


@when('a configuration adds a queue of the service "{service}"')
def add_queue(context, service):
    queue = {**cell_world.queue(_LATER_PREFIX), "service": service}
    content = cell_world.configuration(version=2, further=(queue,))
    context.world.store.put("op", "", "config", content)
    loops.run(context, asyncio.sleep(2.5))


@when("a configuration lists its services as a number")
def list_oddly(context):
    fields = json.loads(cell_world.configuration(version=2))
    content = json.dumps({**fields, "services": 5}).encode()
    context.world.store.put("op", "", "config", content)


@then("every instance has adopted version {version:d}")
def adopted(context, version):
    def is_adopted():
        current = [
            each._configuration.current.version
            for each in context.world.instances
        ]
        return set(current) == {version}

    loops.run(context, loops.until(is_adopted))


@then("a job of that queue completes under the same leader")
def later_job(context):
    async def complete():
        job_id = cell_jobs.OTHER_JOB
        body = cell_world.job(2)
        status, _ = await context.world.call(
            "POST", job_id, body, prefix=_LATER_PREFIX
        )
        assert status == 200, status
        state = None
        while state != "completed":
            _, answer = await context.world.call(
                "GET", job_id, prefix=_LATER_PREFIX
            )
            state = (answer or {}).get("state")
            await asyncio.sleep(0.05)

    loops.run(context, complete())
    (scheduler,) = context.world.schedulers
    assert scheduler.worker_tracker.epoch == 1, scheduler.worker_tracker.epoch


@when('a configuration removes the service "{service}"')
def remove_service(context, service):
    async def remove():
        (worker,) = context.world.workers
        await loops.until(lambda: worker.running)
        fields = json.loads(cell_world.configuration(version=2))
        for route in fields["routes"]:
            assert route["service"] == service
            route["service"] = "another-service"
        content = json.dumps(fields).encode()
        context.world.store.put("op", "", "config", content)
        await asyncio.sleep(1.0)

    loops.run(context, remove())


@given("a leader of {count:d} workers")
def create_refusals(context, count):
    context.refusals = fence_refusals.FenceRefusals()
    context.worker_ids = [f"w{number}" for number in range(count)]
    context.refused = 0
    context.now = 0
    context.fleet = fleet.Fleet()


@given("its workers {contact}")
def set_contact(context, contact):
    if contact == "are gone":
        return
    for number, worker_id in enumerate(context.worker_ids):
        registration = model.Registration(
            worker_id,
            "claims",
            f"127.0.0.1:{number + 1}",
            "a",
            False,
            model.Demand(16_000, 65_536, 0),
            frozenset(),
            "",
            1_000,
        )
        worker = fleet.Worker(registration, 0.0)
        worker.contact = _CONTACTS[contact]
        context.fleet.add(worker)


@when("a further worker refuses its token")
def refuse_once(context):
    context.now += 1
    context.refusals.record(f"w{context.refused}", context.now)
    context.refused += 1
    context.is_general = context.refusals.is_general(
        lambda: context.worker_ids, context.fleet.may_accept, context.now
    )


@when("{count:d} workers refuse its token, one each second")
def refuse(context, count):
    for _ in range(count):
        refuse_once(context)


@when("the first worker accepts it")
def accept(context):
    context.refusals.forget("w0")


@when("no worker refuses its token for {seconds:d} s")
def pass_time(context, seconds):
    context.now += seconds


@then("its token is refused by {extent}")
def extent(context, extent):
    assert context.is_general == (extent == "most"), context.is_general
