"""Steps for odd entries and messages of other programs."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap import json_object
from marigoldgap.cell import records
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops

_TOO_LARGE = 10**400
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
    body = {**cell_world.job(), **due}
    context.status, _ = cell_jobs.submit(context, body)


@then("the submission is rejected with {status:d}")
def rejected(context, status):
    assert context.status == status, context.status


@given("a stored job whose estimate has 401 digits")
def stored_too_large(context):
    queue = ["q", "jobs.example", "/q/", "claims", 0, 2, 2.0, 500, False, None]
    step = {"task_count": 1, "demand": [1, 1, 0], "estimate_ms": _TOO_LARGE}
    content = json_object.encode({"queue": queue, "steps": [step]})
    context.rows = [(records.job_row_key(cell_jobs.JOB), content)]


@then("a job completes under the same leader")
def completes(context):
    async def complete():
        # Time for a leader to fail at the message, and for an election.
        await asyncio.sleep(0.5)
        body = cell_world.job(2)
        status, _ = await context.world.call("POST", cell_jobs.OTHER_JOB, body)
        assert status == 200, status
        await context.world.wait_for_state(cell_jobs.OTHER_JOB, "completed")

    loops.run(context, complete())
    (scheduler,) = context.world.schedulers
    assert scheduler.worker_tracker.epoch == 1, scheduler.worker_tracker.epoch
