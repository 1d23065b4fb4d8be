"""Steps for jobs whose progress takes several rows."""

from __future__ import annotations

import asyncio
import json

from behave import given
from behave import then
from behave import when

from marigoldgap import clock
from marigoldgap import json_object
from marigoldgap.cell import former_leader
from marigoldgap.cell import job_tracker
from marigoldgap.cell import journal
from marigoldgap.cell import leadership
from marigoldgap.cell import model
from marigoldgap.cell import progress_rows
from marigoldgap.cell import records
from marigoldgap.cell import store
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops
from tests.fixtures import memory_store

_QUEUE = model.Queue("q", "h", "/q/", "claims", 0, 3, 2.0, 500, False, None)
_SAVED = "x" * 16
_HOUR_MS = 3_600_000


class _Leader:
    """Tracker of one leader and its journal on a store in memory."""

    def __init__(self, rows):
        self.rows = rows
        election_row = rows.rows[records.ELECTION]
        versions = {}
        self.journal = journal.Journal(rows, election_row, versions)
        self.tracker = job_tracker.JobTracker(
            leadership.Leadership(1, self.journal, None),
            lambda: None,
            versions,
            former_leader.FormerLeader(former_leader.released(0.0), 0.0, 0),
        )
        self.writing = asyncio.create_task(self.journal.run())

    def restore(self, record):
        """Restores the job from the stored rows."""
        found = [
            row
            for row_key, row in self.rows.rows.items()
            if row_key.table == records.PROGRESS
        ]
        row_key = records.job_row_key(record.job_id)
        self.tracker.restore(
            store.Row(row_key, records.encode_job(record), 1),
            progress_rows.group(found).get(record.job_id),
        )


def _record(occurrences, tasks, **fields):
    step = model.StepSpec(tasks, model.Demand(1, 1, 0), **fields)
    times = (clock.wall_ms() - _HOUR_MS, 1, occurrences)
    spec = model.JobSpec("", (step,), *(times if occurrences > 1 else ()))
    return model.JobRecord(cell_jobs.JOB, _QUEUE, "team", 0, spec)


def _begin(context, record):
    rows = memory_store.MemoryStore()
    rows.apply(store.Transaction((), ((records.ELECTION, b"1"),)))
    context.rows, context.record = rows, record

    async def begin():
        context.leader = _Leader(rows)
        context.leader.tracker.add(record, 1)

    loops.run(context, begin())
    context.add_cleanup(_stop_writing, context)


def _stop_writing(context):
    context.leader.writing.cancel()


def _job(context):
    return context.leader.tracker.jobs[cell_jobs.JOB]


def _store(context, step, positions):
    async def write():
        for position in positions:
            context.leader.tracker.store_task(step, position)
        await context.leader.journal.flushed()

    loops.run(context, write())


@given("a job of {occurrences:d} occurrences with {tasks:d} tasks each")
def wide_job(context, occurrences, tasks):
    _begin(context, _record(occurrences, tasks))


@given("a gang of {members:d} members")
def wide_gang(context, members):
    _begin(context, _record(1, members, is_gang=True))


def _run_name(step, position, run=7):
    return model.RunName(step.task(position), run)


@when("some of its tasks are done, have failed or have saved progress")
def make_progress(context):
    for step in _job(context).open_steps():
        positions = range(step.spec.task_count)
        for position in positions:
            if position % 3 == 0 and step.spec.task_count > 1:
                step.mark_done(position)
            elif position % 3 == 1:
                step.record_failure(_run_name(step, position))
                step.record_crash(_run_name(step, position, 8))
            else:
                step.keep_saved(position, f"{_SAVED}-{position}")
                step.record_suspicion(_run_name(step, position))
        _store(context, step, positions)
    context.expected = _progress(context)


def _progress(context):
    job = _job(context)
    return {
        (step.occurrence, step.number): (
            step.done,
            step.failures,
            step.saved,
            step.crashes,
            step.suspicions,
            step.waiting,
        )
        for step in job.open_steps()
    }


@when("another leader restores it from the stored rows")
def restore(context):
    async def begin():
        context.leader.writing.cancel()
        context.leader = _Leader(context.rows)
        context.leader.restore(context.record)
        await context.leader.journal.flushed()

    loops.run(context, begin())


@then("it has the same progress")
def same_progress(context):
    assert _progress(context) == context.expected


@then("no row is larger than the store accepts")
def rows_fit(context):
    longest = max(len(row.value) for row in context.rows.rows.values())
    assert longest <= memory_store.ROW_BYTES, longest
    assert not list(context.leader.journal.unstored_rows)


@when("each task has saved {size:d} bytes of progress and some are done")
def save_much(context, size):
    (step,) = _job(context).open_steps()
    positions = range(step.spec.task_count)
    for position in positions:
        step.keep_saved(position, "x" * size)
    step.mark_done(1)
    step.mark_done(149)
    context.done = step.done
    _store(context, step, positions)


@then("the same tasks are done")
def same_done(context):
    (step,) = _job(context).open_steps()
    assert step.done == context.done


def _part_rows(context, occurrence=None):
    prefix = f"{cell_jobs.JOB}."
    if occurrence is not None:
        prefix += f"{occurrence}."
    return [
        row_key
        for row_key in context.rows.rows
        if row_key.table == records.PROGRESS and row_key.key.startswith(prefix)
    ]


@given("the store rejects the first row of its progress")
def reject_first(context):
    context.rows.refused.add(records.progress_row_key(cell_jobs.JOB))


@when("the tasks of its first occurrence are done")
def first_occurrence_done(context):
    job = _job(context)
    (step,) = job.occurrences[0]
    for position in range(step.spec.task_count - 1):
        step.mark_done(position)
    _store(context, step, range(step.spec.task_count - 1))
    assert _part_rows(context, 0)
    step.mark_done(step.spec.task_count - 1)
    job.close_done()
    _store(context, step, [step.spec.task_count - 1])


@then("the rows of the first occurrence are removed")
def rows_removed(context):
    loops.run(context, loops.until(lambda: not _part_rows(context, 0)))


@then("the rows of the first occurrence are not removed")
def rows_not_removed(context):
    loops.run(context, asyncio.sleep(0.2))
    assert _part_rows(context, 0)


@then("another leader restores the job without its first occurrence")
def restored_without(context):
    restore(context)
    assert sorted(_job(context).occurrences) == [1, 2]


@when("the job is archived")
def archive(context):
    async def remove():
        context.leader.tracker.archive(_job(context))
        await context.leader.journal.flushed()

    loops.run(context, remove())


@then("no row of its progress is left")
def no_row_left(context):
    left = [key for key in context.rows.rows if key.table == records.PROGRESS]
    assert not left, left


@given(
    "an earlier version has stored in one row that {count:d} of its tasks are done"
)
def stored_in_one_row(context, count):
    job = _job(context)
    (step,) = job.open_steps()
    for position in range(count):
        step.mark_done(position)
    content = json_object.encode(job.encode())
    row_key = records.progress_row_key(cell_jobs.JOB)
    context.rows.apply(store.Transaction((), ((row_key, content),)))


@then("{count:d} of its tasks are done")
def count_done(context, count):
    (step,) = _job(context).open_steps()
    assert step.done.bit_count() == count, step.done


@then("its progress is stored in {count:d} rows")
def count_rows(context, count):
    found = [key for key in context.rows.rows if key.table == records.PROGRESS]
    assert len(found) == count, found


@when(
    "{count:d} tasks of its last occurrence are done and only their row is stored"
)
def last_occurrence_begun(context, count):
    (step,) = _job(context).occurrences[1]
    for position in range(count):
        step.mark_done(position)
    _store(context, step, range(count))
    del context.rows.rows[records.progress_row_key(cell_jobs.JOB)]


@then("{count:d} tasks of its last occurrence are done")
def last_done(context, count):
    (step,) = _job(context).occurrences[1]
    assert step.done.bit_count() == count, step.done


@then("all its occurrences are open")
def all_open(context):
    job = _job(context)
    assert len(job.occurrences) == job.occurrence_count, job.occurrences


@when("one member is done and only its row is stored")
def member_done(context):
    (step,) = _job(context).open_steps()
    step.mark_done(450)
    _store(context, step, [450])
    first = records.progress_part_row_key(
        cell_jobs.JOB, records.ProgressPart(0, 0, 0)
    )
    del context.rows.rows[first]


@then("all members of the gang are done")
def gang_done(context):
    job = context.leader.tracker.jobs[cell_jobs.JOB]
    assert job.state is model.JobState.COMPLETED


@given("tasks that save {size:d} bytes of progress")
def save_progress(context, size):
    for worker in context.world.workers:
        worker.saved = "x" * size


@when("a job of {tasks:d} tasks of which {done:d} are done is submitted")
def submit_wide(context, tasks, done):
    body = cell_world.job(tasks, "ms=60000", cpu=1, memMb=1, checkpoint=True)
    status, _ = cell_jobs.submit(context, body)
    assert status == 200, status
    context.job = cell_jobs.JOB

    async def end_some():
        await loops.until(lambda: len(cell_jobs.starts(context)) == tasks)
        # The saved progress of all tasks is listed.
        await asyncio.sleep(2.0)
        for worker in context.world.workers:
            for name in list(worker.running)[: done // 2]:
                worker._end(name, "done")
        await loops.until(
            lambda: not any(worker.ended for worker in context.world.workers)
        )

    loops.run(context, end_some())


@when("the leader ends after these ends were acknowledged")
def end_leader(context):
    leader = context.world.leader()
    leader.abort()
    leader.serving.cancel()
    context.world.instances.remove(leader)


@then("no done task of the job is started again in {seconds:d} s")
def no_repeated_task(context, seconds):
    async def watch():
        await loops.until(lambda: context.world.schedulers)
        await asyncio.sleep(seconds)

    loops.run(context, watch())
    cell_jobs.check_no_violations(context)


@when("a task that lasts has failed {count:d} times")
def fail_often(context, count):
    body = cell_world.job(1, "ms=20 fail lasts", longRunning=True)
    cell_jobs.submit(context, body)
    context.job = cell_jobs.JOB
    loops.run(
        context,
        loops.until(lambda: len(cell_jobs.starts(context)) > count),
    )


@then("its stored progress has no failures")
def no_failures(context):
    row = records.progress_row_key(cell_jobs.JOB)
    stored = json.loads(context.world.store.value(*row))
    (step,) = stored["open"]["0"]
    assert step[1] == {}, step


@when("a job with labels of {size:d} bytes is submitted")
def submit_long(context, size):
    body = cell_world.job(1, requiredLabel="x" * size)
    context.status, _ = cell_jobs.submit(context, body)


@when("a job whose record fits exactly is submitted")
def submit_exact(context):
    instance = context.world.instances[0]
    queue = instance._configuration.current.queues[0]
    spec = model.JobSpec("ms=50", ())

    def size(label):
        step = model.StepSpec(
            1, model.Demand(1000, 100, 0), 50, required_label=label
        )
        record = model.JobRecord(
            cell_jobs.JOB,
            queue,
            "team",
            clock.wall_ms(),
            spec._replace(steps=(step,)),
        )
        return len(records.encode_job(record))

    label = "x" * (records.MAX_ROW_BYTES - size("x") + 1)
    assert size(label) == records.MAX_ROW_BYTES
    body = cell_world.job(1, requiredLabel=label)
    context.status, _ = cell_jobs.submit(context, body)
