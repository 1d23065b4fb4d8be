"""Steps for cancellations of jobs that may not be stored yet."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap.cell import cancellation
from marigoldgap.cell import model
from marigoldgap.cell import records
from marigoldgap.cell import retention
from marigoldgap.cell import store
from marigoldgap.cell import stored_jobs
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops
from tests.fixtures import memory_store

_QUEUE = model.Queue("q", "h", "/", "claims", 0, 2, 2.0, 500.0, True, None)
_RECORD = model.JobRecord(
    cell_jobs.JOB,
    _QUEUE,
    "",
    1,
    model.JobSpec("ms=50", (model.StepSpec(1, model.Demand(1000, 100)),)),
)
_ENDED_KEY = records.ended_row_key(cell_jobs.JOB)
_JOB_KEY = records.job_row_key(cell_jobs.JOB)
_SUBMISSION = store.Transaction(
    (store.RowCheck(_JOB_KEY, 0), store.RowCheck(_ENDED_KEY, 0)),
    ((_JOB_KEY, records.encode_job(_RECORD)),),
)
_DEADLINE_S = 1.0
# Time from the arrival of a submission until its write has reached the store.
_OVERLAP_S = 0.1


@when(
    "the store performs the next {count:d} writes of jobs {seconds:d} s late,"
    " without an answer"
)
def delay_writes(context, count, seconds):
    context.world.store.late_job_writes = [seconds] * count
    context.late_until_s = seconds


@when("the late writes have been performed")
def late_writes_performed(context):
    context.world.store.late_job_writes.clear()
    loops.run(context, asyncio.sleep(context.late_until_s + 1))


def _cancel(context):
    return context.world.call(
        "DELETE", cell_jobs.JOB, instance=context.world.instances[1]
    )


def _check_refusal(answer, status, code):
    assert answer[0] == status, answer
    assert answer[1]["error"] == code, answer


@then(
    'a cancellation at another instance is answered with {status:d} and "{code}"'
)
def cancelled_elsewhere(context, status, code):
    _check_refusal(loops.run(context, _cancel(context)), status, code)


@then("every instance answers a query of the job with {status:d}")
def job_state(context, status):
    for instance in context.world.instances:
        answer = loops.run(
            context,
            context.world.call("GET", cell_jobs.JOB, instance=instance),
        )
        assert answer[0] == status, answer


@then('a repeated submission is answered with {status:d} and "{code}"')
def repeated_submission(context, status, code):
    answer = cell_jobs.submit(context, cell_world.job())
    _check_refusal(answer, status, code)


@when("a submission and a cancellation at another instance overlap")
def overlap(context):
    async def run():
        submission = asyncio.create_task(
            context.world.call("POST", cell_jobs.JOB, cell_world.job())
        )
        await asyncio.sleep(_OVERLAP_S)
        context.cancelled = await _cancel(context)
        context.submitted = await submission

    loops.run(context, run())


@then('the cancellation was answered with {status:d} and "{code}"')
def cancellation_answer(context, status, code):
    _check_refusal(context.cancelled, status, code)


@then('the submission was answered with {status:d} and "{code}"')
def submission_answer(context, status, code):
    _check_refusal(context.submitted, status, code)


class _OvertakenStore(memory_store.MemoryStore):
    """Performs the submission just before the first other write."""

    async def transact(self, transaction):
        if _JOB_KEY not in self.rows:
            self.apply(_SUBMISSION)
        return await super().transact(transaction)


def _create(context, rows):
    context.store = rows
    context.notified = []
    context.cancellation = cancellation.Cancellation(
        rows,
        stored_jobs.StoredJobs(rows),
        lambda record, version: context.notified.append(record),
    )


@given("a submission that is performed when its cancellation is written")
def overtaken(context):
    _create(context, _OvertakenStore())


@given("a store that will {fault:w} the next write")
def one_fault(context, fault):
    _create(context, memory_store.MemoryStore())
    context.store.faults = [fault]


@given("a store that will {fault:w} the next {count:d} writes")
def many_faults(context, fault, count):
    _create(context, memory_store.MemoryStore())
    context.store.faults = [fault] * count


@when("the job is cancelled in the store")
def cancel_in_store(context):
    context.outcome = loops.outcome(
        context, context.cancellation.cancel(cell_jobs.JOB, _DEADLINE_S)
    )


@then("the cancellation succeeds")
def succeeds(context):
    assert context.outcome is None, context.outcome
    assert [each.is_cancelled for each in context.notified] == [True]


@then('the cancellation fails with "{code}"')
def fails(context, code):
    assert isinstance(context.outcome, errors.MarigoldgapError)
    assert context.outcome.code == code, context.outcome


def _is_cancelled(context):
    row = context.store.rows[_JOB_KEY]
    return records.decode_job(cell_jobs.JOB, row.value).is_cancelled


@then("the stored job is cancelled")
def stored_is_cancelled(context):
    assert _is_cancelled(context)


@then("the stored job is not cancelled")
def stored_is_not_cancelled(context):
    assert not _is_cancelled(context)


@then("the store has a tombstone of the job")
def has_tombstone(context):
    row = context.store.rows[_ENDED_KEY]
    assert records.decode_ended(row.value).is_tombstone


@then("the store has no tombstone of the job")
def has_no_tombstone(context):
    assert _ENDED_KEY not in context.store.rows


@then("a write of its submission is refused")
def submission_refused(context):
    outcome = loops.outcome(context, context.store.transact(_SUBMISSION))
    assert isinstance(outcome, store.CheckFailedError), outcome


@when("the job is stored, and the held writes are performed")
def store_then_perform(context):
    context.store.apply(_SUBMISSION)
    assert context.store.held
    for transaction in context.store.held:
        try:
            context.store.apply(transaction)
        except store.CheckFailedError:
            continue


@given("a cancellation service that starts now")
def start_service(context):
    _create(context, memory_store.MemoryStore())


@when("{count:d} unknown jobs are cancelled each second for {seconds:d} s")
def cancel_many(context, count, seconds):
    started_s = clock.now_s()
    context.codes = {}

    async def run():
        for second in range(seconds):
            with mock.patch.object(
                clock, "now_s", return_value=started_s + second
            ):
                for number in range(count):
                    job_id = f"{second:08x}{number:08x}"
                    try:
                        await context.cancellation.cancel(job_id, _DEADLINE_S)
                    except errors.MarigoldgapError as error:
                        found = context.codes.get(error.code, 0)
                        context.codes[error.code] = found + 1

    loops.run(context, run())


@then("at most {count:d} tombstones were written")
def few_tombstones(context, count):
    assert 0 < len(context.store.rows) <= count, len(context.store.rows)


@then('the other cancellations failed with "{code}"')
def others_failed(context, code):
    assert set(context.codes) == {code, "job-gone"}, context.codes
    assert context.codes["job-gone"] == len(context.store.rows), context.codes


@then("{row} is kept for {kept:d} s if the retention period is {period:d} s")
def kept(context, row, kept, period):
    archived = records.ArchivedJob(
        model.JobState.CANCELLED, 0, is_tombstone=row == "a tombstone"
    )
    assert retention.kept_s(archived, period) == kept
