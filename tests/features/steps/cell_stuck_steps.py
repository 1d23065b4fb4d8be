"""Steps for runs without progress."""

from __future__ import annotations

import asyncio

from behave import then
from behave import when

from marigoldgap.cell import runs
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops


@when(
    "a job of {seconds:d} s that declares its run time is submitted and has"
    " begun"
)
def submit_long(context, seconds):
    milliseconds = 1_000 * seconds
    body = cell_world.job(1, f"ms={milliseconds}", estimateMs=milliseconds)
    status, _ = cell_jobs.submit(context, body)
    assert status == 200, status
    loops.run(context, loops.until(lambda: cell_jobs.starts(context)))


@then("its task was started once after {seconds:d} s")
def started_once(context, seconds):
    loops.run(context, asyncio.sleep(seconds))
    assert len(cell_jobs.starts(context)) == 1, cell_jobs.starts(context)


@then(
    "a task of {expected:d} s that avoids {avoided:d} workers is stuck after"
    " {limit:d} s"
)
def check_limit(context, expected, avoided, limit):
    assert runs.stuck_after_s(expected, avoided) == limit
