"""Steps for entries of other writers and unexpected errors of one worker."""

from __future__ import annotations

import asyncio

from behave import then
from behave import when

from marigoldgap import json_object
from marigoldgap import measures
from marigoldgap.cell import job_tracker
from marigoldgap.cell import records
from marigoldgap.cell import run_listings
from marigoldgap.cell import worker_tracker
from marigoldgap.web import messages
from marigoldgap.web import server
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops

_ODD_KEYS = {
    "no Latin-1 text": "expediente-№7",
    "split by a line break": "w9\r\nX-Odd: 1",
    "ended by a space": "w9 ",
    "a control character": "w\x00",
    "half of a surrogate pair": "w\ud800",
    "empty": "",
}
# Distance of the full-width digits, which the resolver of names takes for the
# usual ones.
_FULL_WIDTH = ord("\N{FULLWIDTH DIGIT ZERO}") - ord("0")
_ODD_HOSTS = {
    "in digits of another size": "".join(
        chr(ord(each) + _FULL_WIDTH) if each.isdigit() else each
        for each in "127.0.0.1"
    ),
    "a name": "localhost",
}


def _register_program(context, key, host=""):
    """Registers a program that is no worker, with the usual fields."""
    context.received = []

    async def answer(request):
        context.received.append(request)
        return messages.Response(404)

    async def start():
        address = cell_world.free_address()
        program = server.HttpServer(answer)
        await program.start(address)
        context.add_cleanup(program.close)
        return address

    address = loops.run(context, start())
    own_host, _, port = address.rpartition(":")
    entry = {
        "service": "claims",
        "address": f"{host or own_host}:{port}",
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 16_000, "memMb": 65_536, "gpu": 0},
        "labels": ["a", "r1"],
        "born": 1,
    }
    context.world.store.put("servers", "", key, json_object.encode(entry))


@when("another writer registers a program under a key that is {odd}")
def register_under_odd_key(context, odd):
    _register_program(context, _ODD_KEYS[odd])


@when("another writer registers a program whose address is {odd}")
def register_with_odd_address(context, odd):
    _register_program(context, "w9", _ODD_HOSTS[odd])


@when("another writer adds {count:d} entries with half of a surrogate pair")
def add_many(context, count):
    for number in range(count):
        context.world.store.put("servers", "", f"a\ud800{number}", b"{}")


@when("another instance becomes the leader")
def change_leader(context):
    former = context.world.leader()
    former.request_stop()

    def has_changed():
        return any(
            each is not former and each.scheduler
            for each in context.world.instances
        )

    loops.run(context, loops.until(has_changed))


@then("the program has received no request")
def received_nothing(context):
    assert not context.received, context.received


def _fail_for(worker_id, wrapped):
    """Returns a function that fails if a worker is among its arguments."""

    def names(argument):
        registration = getattr(argument, "registration", argument)
        return getattr(registration, "worker_id", "") == worker_id

    def call(*arguments):
        if any(map(names, arguments)):
            raise ValueError("unexpected")
        return wrapped(*arguments)

    return call


_FAILING = {
    "renewal": ("port", "renew"),
    "listing": ("listings", "apply"),
    "start": ("port", "start"),
    "stop": ("port", "stop"),
}


@when("each {call} of the second worker ends with an unexpected error")
def fail_unexpectedly(context, call):
    context.errors = _error_counts()
    (scheduler,) = context.world.schedulers
    tracker = scheduler.worker_tracker
    owner_name, method = _FAILING[call]
    owner = {"port": tracker._port, "listings": tracker._listings}[owner_name]
    worker_id = context.world.workers[1].worker_id
    setattr(owner, method, _fail_for(worker_id, getattr(owner, method)))


@when("a job of {count:d} tasks that fill half a worker each is submitted")
def submit_wide(context, count):
    body = cell_world.job(count, "ms=200", cpu=8_000)
    status, _ = cell_jobs.submit(context, body)
    assert status == 200, status


@when("a job that runs on both workers is cancelled")
def cancel_running(context):
    body = cell_world.job(2, "ms=20000", cpu=16_000)
    status, _ = cell_jobs.submit(context, body)
    assert status == 200, status

    async def cancel():
        workers = context.world.workers
        await loops.until(lambda: all(each.running for each in workers))
        status, _ = await context.world.call("DELETE", cell_jobs.JOB)
        assert status == 200, status

    loops.run(context, cancel())


@when(
    "the end of one of {count:d} runs on the second worker fails and the worker"
    " ends"
)
def fail_at_end(context, count):
    context.errors = _error_counts()
    first, second = context.world.workers
    (scheduler,) = context.world.schedulers
    runs = scheduler.worker_tracker._runs
    former = runs.end
    failed = []

    def end(run, *arguments):
        if not failed and run.worker.worker_id == second.worker_id:
            failed.append(run)
            raise ValueError("unexpected")
        return former(run, *arguments)

    async def run_and_end():
        first.capacity["cpu"] = 0
        first.register()
        await asyncio.sleep(1.0)
        body = cell_world.job(count, "ms=800", cpu=1_000)
        status, _ = await context.world.call("POST", cell_jobs.JOB, body)
        assert status == 200, status
        await loops.until(lambda: len(second.running) == count)
        first.capacity["cpu"] = 16_000
        first.register()
        runs.end = end
        second.stop(is_crash=True)

    loops.run(context, run_and_end())
    context.failing_runs = failed


@then("the other {count:d} tasks are done under the same leader")
def others_done(context, count):
    (scheduler,) = context.world.schedulers
    job = scheduler.job_tracker.jobs[cell_jobs.JOB]
    step = job.occurrences[0][0]

    first = context.world.workers[0]

    def are_done():
        return len(first.starts) >= count and len(step.active) == 1

    loops.run(context, loops.until(are_done))
    (left,) = step.active.values()
    assert [left] == context.failing_runs, (left.name, context.failing_runs)
    assert len(first.starts) == count, first.starts
    assert scheduler.worker_tracker.epoch == 1, scheduler.worker_tracker.epoch


@when(
    "each listing of the second worker ends with an unexpected error in any"
    " leader"
)
def fail_in_any_leader(context):
    worker_id = context.world.workers[1].worker_id
    former = run_listings.RunListings.apply
    run_listings.RunListings.apply = _fail_for(worker_id, former)
    context.add_cleanup(setattr, run_listings.RunListings, "apply", former)


@then("one instance was elected after the first leader")
def elected_once(context):
    (scheduler,) = context.world.schedulers
    assert scheduler.worker_tracker.epoch == 2, scheduler.worker_tracker.epoch


def _fail_in(context, owner, method, key):
    """Lets a method fail for the worker or job with a key."""
    former = getattr(owner, method)

    def call(self, subject, *arguments):
        if key in (
            getattr(subject, "worker_id", ""),
            getattr(subject, "job_id", ""),
        ):
            raise ValueError("unexpected")
        return former(self, subject, *arguments)

    setattr(owner, method, call)
    context.add_cleanup(setattr, owner, method, former)


@when('a registration of "{key}" ends with an unexpected error')
def fail_at_registration(context, key):
    context.errors = _error_counts()
    _fail_in(context, worker_tracker.WorkerTracker, "on_registration", key)
    _register_program(context, key)


@when("a stored job ends with an unexpected error")
def fail_at_job(context):
    context.errors = _error_counts()
    _fail_in(context, job_tracker.JobTracker, "add", cell_jobs.JOB)
    queue = ["q", "jobs.example", "/q/", "claims", 0, 2, 2.0, 500, False, None]
    step = {"task_count": 1, "demand": [1, 1, 0], "estimate_ms": 1}
    content = json_object.encode({"queue": queue, "steps": [step]})
    context.world.store.put(*records.job_row_key(cell_jobs.JOB), content)


@then("the job is completed under the same leader")
def completed_under_same(context):
    loops.run(context, context.world.wait_for_state(cell_jobs.JOB, "completed"))
    (scheduler,) = context.world.schedulers
    assert scheduler.worker_tracker.epoch == 1, scheduler.worker_tracker.epoch


def _error_counts():
    return {
        sample.labels["subject"]: sample.value
        for metric in measures.UNEXPECTED_ERRORS.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    }


@then('the error was counted for "{subject}"')
def counted(context, subject):
    found = _error_counts().get(subject, 0) - context.errors.get(subject, 0)
    assert found > 0, _error_counts()
