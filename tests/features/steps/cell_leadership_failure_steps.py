"""Steps for leaderships that end with an error of one of their parts."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap import json_object
from marigoldgap import measures
from marigoldgap.cell import candidacy
from marigoldgap.cell import records
from marigoldgap.cell import scheduler as schedulers
from tests.fixtures import log_lines
from tests.fixtures import loops


@given('{count:d} leaderships that failed at "{part}", one each second')
def fail_repeatedly(context, count, part):
    context.backoff = candidacy.FailureBackoff()
    for context.now in range(count):
        context.backoff.record(part, context.now)


@when('one fails at "{part}" after {seconds:d} s')
def fail_later(context, part, seconds):
    context.now += seconds
    context.backoff.record(part, context.now)


@then("the next claim is delayed by {delay:g} s")
def delayed(context, delay):
    found = context.backoff.delay_s(context.now)
    assert found == delay, found


@then("{seconds:d} s later it is not delayed")
def not_delayed(context, seconds):
    assert context.backoff.delay_s(context.now + seconds) == 0


def _failures():
    return {
        sample.labels["part"]: sample.value
        for metric in measures.LEADERSHIP_FAILURES.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    }


def _raise(*arguments):
    raise ValueError("unexpected")


@when("planning ends with an unexpected error in each leader for {seconds:d} s")
def fail_planning(context, seconds):
    context.lines = log_lines.capture(context)
    context.failures = _failures()
    former = schedulers.Scheduler._plan
    schedulers.Scheduler._plan = _raise
    try:
        loops.run(context, asyncio.sleep(seconds))
    finally:
        schedulers.Scheduler._plan = former


@then("at most {count:d} leaderships have failed")
def failed_at_most(context, count):
    found = [name for name, _ in context.lines if name == "leadership_failed"]
    assert 2 <= len(found) <= count, len(found)


@then('the failures were counted for "{part}"')
def failures_counted(context, part):
    counted = _failures()[part] - context.failures.get(part, 0)
    logged = [name for name, _ in context.lines if name == "leadership_failed"]
    assert counted == len(logged), (counted, len(logged))


@then('a line says that leaderships fail repeatedly at "{part}"')
def reported(context, part):
    found = [
        fields["task"]
        for name, fields in context.lines
        if name == "leadership_fails_repeatedly"
    ]
    assert set(found) == {part}, found


_PARTS = {
    "the journal": lambda scheduler: _fail_once(
        scheduler.leadership.journal, "_encode_chunk"
    ),
    "the heartbeat": lambda scheduler: _fail_once(
        scheduler.leadership.journal, "schedule_urgent_write"
    ),
    "the jobs feed": lambda scheduler: _fail_once(
        scheduler.job_tracker, "mark_complete"
    ),
}


def _fail_once(owner, method):
    former = getattr(owner, method)

    def fail(*arguments):
        setattr(owner, method, former)
        raise ValueError("unexpected")

    setattr(owner, method, fail)


@when("{part} of the leader ends once with an unexpected error")
def fail_part(context, part):
    context.former = context.world.leader()
    _PARTS[part](context.former.scheduler)


@then("the other instance leads after one election")
def other_leads(context):
    (other,) = (
        each for each in context.world.instances if each is not context.former
    )

    def leads():
        return other.scheduler is not None and other.scheduler.is_recovered

    loops.run(context, loops.until(leads))
    assert other.scheduler.worker_tracker.epoch == 2
    assert context.former.scheduler is None


_ROW = {
    "epoch": 1,
    "instance": "e0",
    "address": "127.0.0.1:9",
    "is_released": False,
    "was_obeyed": False,
}
_ODD_ROWS = {
    "an epoch that is a text": {**_ROW, "epoch": "1"},
    "an epoch of 401 digits": {**_ROW, "epoch": 10**400},
    "an instance of a number": {**_ROW, "instance": 5},
    "a list in place of fields": [],
}


@when("the election row has {odd}")
def write_odd_row(context, odd):
    content = json_object.encode(_ODD_ROWS[odd])
    context.world.store.put(*records.ELECTION, content)
    # Both instances read the row.
    loops.run(context, asyncio.sleep(1.5))
