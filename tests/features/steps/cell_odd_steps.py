"""Steps for odd entries and messages of other programs."""

from __future__ import annotations

import asyncio
import math

from behave import given
from behave import then
from behave import when

from marigoldgap import json_object
from marigoldgap.cell import records
from marigoldgap.cell import store
from marigoldgap.web import messages
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops

_TOO_LARGE = 10**400
# An odd row of a worker's listing, and the list that it belongs to. The job of
# `OTHER_JOB` is known to the leader.
_ODD_ROWS = {
    "a progress of 401 digits": (
        "running",
        [f"{cell_jobs.JOB}.0.0.0", 1, "", _TOO_LARGE],
    ),
    "a run with an infinite number": (
        "running",
        [f"{cell_jobs.JOB}.0.0.0", math.inf, "", 1],
    ),
    "a run with a number of 401 digits": (
        "running",
        [f"{cell_jobs.OTHER_JOB}.0.0.0", _TOO_LARGE, "", 1],
    ),
    "a task at a negative position": (
        "running",
        [f"{cell_jobs.OTHER_JOB}.0.0.-1", 1, "", 1],
    ),
    "a run of a task that the job lacks": (
        "running",
        [f"{cell_jobs.OTHER_JOB}.0.7.99", 1, "", 1],
    ),
    "an ended task at a negative position": (
        "ended",
        [1, f"{cell_jobs.OTHER_JOB}.0.0.-1", 1, "done", ""],
    ),
    "an end with an infinite number": (
        "ended",
        [math.inf, f"{cell_jobs.JOB}.0.0.0", 1, "done", ""],
    ),
}
_ODD_STORE_ROWS = {
    "that is a text": "odd",
    "without a key": {"table": "servers", "part": "", "ver": 1},
    "with a key of a number": {"table": "servers", "key": 5, "ver": 1},
    "with a version of a text": {"table": "servers", "key": "w", "ver": "x"},
}
_ENTRY = {
    "service": "claims",
    "address": "127.0.0.1:9",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 16_000},
    "labels": [],
}
_DAMAGED_ENTRIES = {
    "nested too deeply": b"[" * 100_000 + b"]" * 100_000,
    "no JSON": b"\xff{",
    "without an address": json_object.encode({**_ENTRY, "address": 5}),
    "with a port of 99999": json_object.encode(
        {**_ENTRY, "address": "127.0.0.1:99999"}
    ),
    "of 401 digits of cores": json_object.encode(
        {**_ENTRY, "capacity": {"cpu": _TOO_LARGE}}
    ),
}
# Fields of a job; the others belong to its steps.
_JOB_FIELDS = frozenset({"startAtMs", "intervalMs", "repeats"})


@when("a job whose {field} has 401 digits is submitted")
def submit_too_large(context, field):
    body = cell_world.job()
    owner = body if field in _JOB_FIELDS else body["steps"][0]
    owner[field] = _TOO_LARGE
    context.status, _ = cell_jobs.submit(context, body)


@when("a job of {count:d} occurrences that are all due is submitted")
def submit_many(context, count):
    due = {"startAtMs": 1, "intervalMs": 1, "repeats": count}
    # Many fit beside the other job, and its workspace has no limit.
    body = {**cell_world.job(1, "ms=20", cpu=100), **due}
    context.status, _ = cell_jobs.submit(context, body)


@then("the submission is answered with {status:d}")
@then("the submission is rejected with {status:d}")
def rejected(context, status):
    assert context.status == status, context.status


@when("the listings of the second worker have {odd}")
def list_odd(context, odd):
    worker = context.world.workers[1]
    name, row = _ODD_ROWS[odd]
    answer = worker._handle_hold

    async def answer_oddly(body):
        await asyncio.sleep(0.05)
        response = await answer({**body, "waitMs": 0})
        fields = response.json()
        fields[name].append(row)
        return messages.json_response(200, fields)

    worker._handle_hold = answer_oddly
    # Ends the wait of the current listing.
    worker._changed.set()
    worker._changed = asyncio.Event()


@then("more than {count:d} occurrences of the first job are completed")
def occurrences_completed(context, count):
    (scheduler,) = context.world.schedulers
    job = scheduler.job_tracker.jobs[cell_jobs.JOB]

    def completed():
        return job.next_occurrence - len(job.occurrences)

    loops.run(context, loops.until(lambda: completed() > count))


@given("a stored job whose estimate has 401 digits")
def stored_too_large(context):
    queue = ["q", "jobs.example", "/q/", "claims", 0, 2, 2.0, 500, False, None]
    step = {"task_count": 1, "demand": [1, 1, 0], "estimate_ms": _TOO_LARGE}
    content = json_object.encode({"queue": queue, "steps": [step]})
    context.rows = [(records.job_row_key(cell_jobs.JOB), content)]


@when("every page of the store has a row {odd}")
def add_odd_row(context, odd):
    context.world.store.odd_rows = [_ODD_STORE_ROWS[odd]]


_ODD_NUMBERS = {
    "an infinite version": b'{"rows": [], "ver": 1e999, "nowMs": 1}',
    "a version of 5,000 digits": b'{"rows": [], "ver": %s, "nowMs": 1}'
    % (b"9" * 5_000),
    "an infinite time": b'{"rows": [], "ver": 1, "nowMs": 1e999}',
    "a time of 401 digits": b'{"rows": [], "ver": 1, "nowMs": %s}'
    % (b"9" * 401),
    "a time that is a text": b'{"rows": [], "ver": 1, "nowMs": "soon"}',
}


@when("every answer of the store has {odd} for {seconds:d} s")
def odd_numbers(context, odd, seconds):
    rows = context.world.store
    rows.malformed_body = _ODD_NUMBERS[odd]
    rows.is_malformed = True
    loops.run(context, asyncio.sleep(seconds))
    rows.is_malformed = False


@when("every answer of the store is nested too deeply for {seconds:d} s")
def answer_nested(context, seconds):
    rows = context.world.store
    rows.malformed_body = b"[" * 100_000 + b"]" * 100_000
    rows.is_malformed = True
    loops.run(context, asyncio.sleep(seconds))
    rows.is_malformed = False


@given("a stored instance whose address is {address}")
def stored_instance(context, address):
    row_key = store.RowKey(records.INSTANCES, "", "odd")
    context.rows = [(row_key, b'{"address": %s}' % address.encode())]


@then("the leader knows the other instance only")
def knows_other_only(context):
    leader = context.world.leader()
    others = [
        each.settings.name
        for each in context.world.instances
        if each is not leader
    ]
    loops.run(context, loops.until(lambda: leader._instances.peers))
    found = [each.name for each in leader._instances.peers]
    assert found == others, found


@given("the workers answer starts with a malformed body")
def malformed_starts(context):
    for worker in context.world.workers:
        start = worker._start

        async def start_oddly(body, start=start):
            await start(body)
            return messages.Response(200, b"[")

        worker._start = start_oddly


@when("a job of 1 tasks with {millicores:d} millicores each is submitted")
def submit_one(context, millicores):
    body = cell_world.job(1, "ms=4000", cpu=millicores)
    status, _ = cell_jobs.submit(context, body)
    assert status == 200, status


@when("the worker that runs it drains before its next listing")
def drain_at_once(context):
    async def drain():
        workers = context.world.workers
        await loops.until(lambda: any(each.running for each in workers))
        worker = next(each for each in workers if each.running)
        worker.is_draining = True
        worker.register()

    loops.run(context, drain())


@when("the entry of its worker is {damaged} for {seconds:d} s")
def damage_entry(context, damaged, seconds):
    (worker,) = context.world.workers
    register = worker.register

    def write_damaged():
        content = _DAMAGED_ENTRIES[damaged]
        context.world.store.put("servers", "", worker.worker_id, content)

    async def damage():
        await loops.until(lambda: worker.running)
        worker.register = write_damaged
        worker.register()
        await asyncio.sleep(seconds)
        worker.register = register

    loops.run(context, damage())


@then("the job is completed by a single run")
def completed_once(context):
    loops.run(context, context.world.wait_for_state(cell_jobs.JOB, "completed"))
    (worker,) = context.world.workers
    assert len(worker.starts) == 1, worker.starts


@then("no task ran in two places within {seconds:d} s")
def not_twice(context, seconds):
    loops.run(context, asyncio.sleep(seconds))
    cell_jobs.check_no_violations(context)


@then("a job completes under the same leader")
def completes_under_same(context):
    completes(context)
    (scheduler,) = context.world.schedulers
    assert scheduler.worker_tracker.epoch == 1, scheduler.worker_tracker.epoch


@then("a job completes")
def completes(context):
    async def complete():
        # Time for a leader to fail at the message, and for an election.
        await asyncio.sleep(0.5)
        body = cell_world.job(2)
        status, _ = await context.world.call("POST", cell_jobs.OTHER_JOB, body)
        assert status == 200, status
        await context.world.wait_for_state(cell_jobs.OTHER_JOB, "completed")

    loops.run(context, complete())
