"""Steps for stored records that cannot be valid."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import failed_steps
from marigoldgap.cell import model
from marigoldgap.cell import planning_pass
from marigoldgap.cell import records
from tests.fixtures import cell_world
from tests.fixtures import loops

_STORED_JOB = "00000000000000f6"
_ADVICE = None
_JOB = {
    "queue": [
        "claims-queue",
        cell_world.HOST,
        cell_world.PREFIX,
        "claims",
        0,
        2,
        2.0,
        500.0,
        False,
        _ADVICE,
    ],
    "workspace": "team",
    "accepted": 1_000,
    "payload": "ms=20 cpu=1000 mem=100",
    "steps": [{"task_count": 2, "demand": [1000, 100, 0], "after": []}],
}
_QUEUE_FIELDS = model.Queue._fields
_WORKER = model.Registration(
    "w1",
    "claims",
    "127.0.0.1:1",
    "a",
    False,
    model.Demand(16_000, 65_536, 0),
    frozenset({"a", "r1"}),
    "r1",
    1_000,
)


class _Step:
    """What the list of failed steps uses of a step."""

    def __init__(self):
        self.job = SimpleNamespace(job_id=_STORED_JOB)
        self.number = 0
        self.not_before_s = 0.0


def _copy():
    return json.loads(json.dumps(_JOB))


def _with_queue(field, value):
    job = _copy()
    job["queue"][_QUEUE_FIELDS.index(field)] = value
    return job


def _with_step(**fields):
    job = _copy()
    job["steps"][0].update(fields)
    return job


_ODD_JOBS = {
    "a list for its service": _with_queue("service", ["claims"]),
    "a list for a required label": _with_step(required_label=["a"]),
    "a text for a number of cores": _with_step(demand=["1000", 100, 0]),
    "a negative number of cores": _with_step(demand=[-1, 100, 0]),
    "no tasks in a step": _with_step(task_count=0),
    "half a task in a step": _with_step(task_count=0.5),
    "no steps": {**_copy(), "steps": []},
    "an infinite stretch": _with_queue("stretch", float("inf")),
    "a negative priority": _with_queue("priority", -1),
    "a Boolean for its attempts": _with_queue("attempts", True),
    "a number for a flag": _with_step(is_gang=1),
    "a negative prerequisite": _with_step(after=[-1]),
    "a text for its occurrences": {**_copy(), "occurrences": "3"},
    "a number for its payload": {**_copy(), "payload": 7},
    "a key that is no identifier": _copy(),
}
_ODD_WORKERS = {
    "a name for its address": {"address": "localhost:1"},
    "a line break in its id": {"worker_id": "w1\r\nX-Odd: 1"},
    "a number for its zone": {"zone": 7},
    "a negative capacity": {"capacity": [-1, 0, 0]},
    "a list for a label": {"labels": [["a"]]},
    "a text for its birth time": {"born_ms": "1000"},
}


def _code(decode):
    try:
        decode()
    except records.RecordError as error:
        return error.code
    return ""


@then('a stored job with {odd} is rejected as "{code}"')
def job_rejected(context, odd, code):
    content = json.dumps(_ODD_JOBS[odd]).encode()
    job_id = "odd" if odd == "a key that is no identifier" else _STORED_JOB
    assert _code(lambda: records.decode_job(job_id, content)) == code
    # The fields that are not changed are valid.
    valid = json.dumps(_JOB).encode()
    assert records.decode_job(_STORED_JOB, valid).spec.steps[0].task_count == 2


@then('a stored worker with {odd} is rejected as "{code}"')
def worker_rejected(context, odd, code):
    valid = records.encode_worker(_WORKER)
    assert records.decode_worker(valid) == _WORKER
    content = json.dumps({**json.loads(valid), **_ODD_WORKERS[odd]}).encode()
    assert _code(lambda: records.decode_worker(content)) == code


def _store_job(context, job, row_key=None, further=()):
    row_key = row_key or records.job_row_key(_STORED_JOB)
    context.stored = (row_key, json.dumps(job).encode())
    context.rows = [context.stored, *further]


@given("a stored job with a step that depends on {what}")
def store_dependent(context, what):
    _store_job(context, _with_step(after=[0 if what == "itself" else 7]))


@given("a stored job in the partition of other jobs")
def store_elsewhere(context):
    row_key = records.job_row_key(_STORED_JOB)
    other = next(
        each for each in records.JOB_PARTITIONS if each != row_key.partition
    )
    _store_job(context, _copy(), row_key._replace(partition=other))


@given("a stored job whose progress cannot be restored")
def store_with_progress(context):
    progress = {
        "state": "running",
        "begun": True,
        "next": 1,
        "early": [],
        "open": {"0": [["odd"]]},
    }
    row_key = records.progress_row_key(_STORED_JOB)
    further = [(row_key, json.dumps(progress).encode())]
    _store_job(context, _copy(), further=further)


@then("nothing of the stored job was started")
def none_of_stored(context):
    started = [
        start
        for worker in context.world.workers
        for start in worker.starts
        if start[0].startswith(_STORED_JOB)
    ]
    assert not started, started


@when("the row of the stored job is written again")
def write_again(context):
    row_key, content = context.stored
    context.world.store.put(*row_key, content)


@when("the stored job is cancelled")
def cancel_stored(context):
    status, _ = loops.run(context, context.world.call("DELETE", _STORED_JOB))
    assert status == 200, status


@then('every instance shows the stored job as "{state}"')
def stored_shown(context, state):
    for instance in context.world.instances:
        loops.run(
            context,
            context.world.wait_for_state(_STORED_JOB, state, instance),
        )


@given("a step whose planning fails")
def failing_step(context):
    context.failed_steps = failed_steps.FailedSteps()
    context.plan = planning_pass.Plan([], [])
    context.step = _Step()


def _fail(context):
    """Fails the planning of the step; returns the pause until the next one."""
    now = context.step.not_before_s
    size = failed_steps.PlanSize.of(context.plan)
    context.plan.placements.append("a placement")
    context.plan.advice.append("a request")
    error = TypeError("unhashable type: 'list'")
    context.failed_steps.add(context.step, error, context.plan, size, now)
    return context.step.not_before_s - now


@then("it is planned again after {pauses} s")
def growing(context, pauses):
    expected = [float(each) for each in pauses.replace("and", ",").split(",")]
    assert [_fail(context) for _ in expected] == expected


@then("after {count:d} failures it is planned again after {pause:d} s")
def longest(context, count, pause):
    for _ in range(count):
        found = _fail(context)
    assert found == pause, found


@then("nothing of it stays in the plan")
def empty_plan(context):
    assert context.plan == planning_pass.Plan([], [])


@when("it waits no more")
def waits_no_more(context):
    assert context.step in context.failed_steps
    context.failed_steps.keep_only([])


@then("it is forgotten")
def forgotten(context):
    assert context.step not in context.failed_steps


@when("the stored row of its worker cannot be read any more")
def spoil_roster_row(context):
    context.worker = next(each for each in context.world.workers if each.starts)
    row_key = records.roster_row_key(context.worker.worker_id)
    store = context.world.store
    loops.run(context, loops.until(lambda: store.value(*row_key)))
    store.put(*row_key, b"[]")


@when("its worker does not answer later leaders")
def ignore_later(context):
    context.worker.ignored_fence = 2


@then("its task is started on the other worker")
def started_on_other(context):
    (other,) = (
        each for each in context.world.workers if each is not context.worker
    )
    loops.run(context, loops.until(lambda: other.starts))


@when("the roster has a row with {content}")
def add_roster_row(context, content):
    store = context.world.store
    worker_key = records.roster_row_key(context.world.workers[0].worker_id)
    loops.run(context, loops.until(lambda: store.value(*worker_key)))
    value = b"{}"
    if content == "another worker's row":
        value = store.value(*worker_key)
    context.odd_row = records.roster_row_key("odd")
    store.put(*context.odd_row, value)


@then("the row is removed within {seconds:d} s")
def row_removed(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            await loops.until(
                lambda: context.world.store.value(*context.odd_row) is None
            )

    loops.run(context, wait())


@then("the roster has the worker")
def roster_has_worker(context):
    (worker,) = context.world.workers
    row_key = records.roster_row_key(worker.worker_id)
    assert context.world.store.value(*row_key) is not None
