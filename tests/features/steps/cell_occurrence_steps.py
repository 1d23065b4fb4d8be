"""Steps for jobs whose steps run at several times."""

from __future__ import annotations

import json

from behave import given
from behave import then
from behave import when

from marigoldgap import clock
from marigoldgap.cell import jobs
from marigoldgap.cell import model
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops

_HOUR_MS = 3_600_000
_TASKS = 2


@when(
    "a job of {count:d} occurrences, {interval:d} ms apart, with {duration:d} ms"
    " a task is submitted"
)
def submit_recurring(context, count, interval, duration):
    times = {
        "startAtMs": clock.wall_ms(),
        "intervalMs": interval,
        "repeats": count,
    }
    body = {**cell_world.job(_TASKS, f"ms={duration}"), **times}
    status, _ = cell_jobs.submit(context, body)
    assert status == 200, status
    context.job = cell_jobs.JOB
    context.tasks = count * _TASKS


@when("a task of occurrence {occurrence:d} has begun")
def occurrence_begun(context, occurrence):
    prefix = f"{cell_jobs.JOB}.{occurrence}."

    def has_begun():
        return any(
            name.startswith(prefix) for name, _ in cell_jobs.starts(context)
        )

    loops.run(context, loops.until(has_begun))


def _job(occurrences):
    queue = model.Queue("q", "h", "/q/", "claims", 0, 2, 2.0, 500, False, None)
    step = model.StepSpec(_TASKS, model.Demand(1_000, 100, 0))
    spec = model.JobSpec(
        "", (step,), clock.wall_ms() + _HOUR_MS, 1_000, occurrences
    )
    record = model.JobRecord(cell_jobs.JOB, queue, "team", 0, spec)
    return jobs.Job(record, queue, 0.0)


@given("a job of {count:d} occurrences of which none is due")
def job_not_due(context, count):
    context.recurring = _job(count)
    assert not context.recurring.open_due(clock.wall_ms())


@when("a worker lists a run of occurrence {occurrence:d}")
def list_run(context, occurrence):
    task = model.TaskName(cell_jobs.JOB, occurrence, 0, 0)
    context.recurring.started_step(task)


@then("only occurrence {occurrence:d} is open")
def only_open(context, occurrence):
    context.recurring.open_due(clock.wall_ms())
    assert list(context.recurring.occurrences) == [occurrence]


@then("no occurrence is open")
def none_open(context):
    assert not context.recurring.occurrences


@when("the tasks of occurrence {occurrence:d} are done")
def tasks_done(context, occurrence):
    (step,) = context.recurring.occurrences[occurrence]
    for position in range(_TASKS):
        step.mark_done(position)
    context.is_complete = context.recurring.close_done()


@when("occurrence {occurrence:d} is opened and its tasks are done")
def open_and_finish(context, occurrence):
    context.recurring.open(occurrence)
    tasks_done(context, occurrence)


@then("the job is complete")
def is_complete(context):
    assert context.is_complete


@then("the job is not complete")
def is_not_complete(context):
    assert not context.is_complete


@then("another leader that restores the job opens all occurrences but {done:d}")
def restored_opens(context, done):
    count = context.recurring.occurrence_count
    restored = _job(count)
    restored.restore(json.loads(json.dumps(context.recurring.encode())))
    restored.open_due(clock.wall_ms() + 2 * _HOUR_MS)
    assert sorted(restored.occurrences) == [
        number for number in range(count) if number != done
    ]
