"""Steps for the journal and the stored records."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap.cell import journal
from marigoldgap.cell import model
from marigoldgap.cell import records
from marigoldgap.cell import store
from tests.fixtures import loops
from tests.fixtures import memory_store

# Time in which the journal writes a batch.
_WRITE_S = 0.1
_ROW_KEY = records.progress_row_key("a" * 16)


@given("a journal on a store in memory")
def create_journal(context):
    context.rows = memory_store.MemoryStore()
    context.rows.apply(store.Transaction((), ((records.ELECTION, b"1"),)))
    context.journal = journal.Journal(
        context.rows, context.rows.rows[records.ELECTION], {}
    )

    async def start():
        context.journal_task = asyncio.create_task(context.journal.run())

    loops.run(context, start())


def _write(context, content):
    async def write():
        context.journal.schedule_write(_ROW_KEY, lambda: content)
        flushed = context.journal.flushed()
        await asyncio.wait(
            [flushed, context.journal_task],
            return_when=asyncio.FIRST_COMPLETED,
        )

    loops.run(context, write())


def _stored(context):
    row = context.rows.rows.get(_ROW_KEY)
    return row.value if row else None


@when("a row is written twice and the first write takes effect late")
def late_write(context):
    context.rows.faults = ["hold"]
    _write(context, b"first")
    _write(context, b"second")
    try:
        context.rows.apply(context.rows.held[0])
    except store.CheckFailedError:
        pass


@then("the store holds the second content")
def holds_second(context):
    assert _stored(context) == b"second", _stored(context)


@when("the answer of a write is lost")
def lost_answer(context):
    context.rows.faults = ["lose"]
    _write(context, b"content")


@then("the row is stored and the journal continues")
def stored_and_continues(context):
    assert _stored(context) == b"content"
    _write(context, b"next")
    assert _stored(context) == b"next"


@when("a write is in flight at the store")
def write_in_flight(context):
    async def begin():
        context.rows.gate = asyncio.Event()
        context.journal.schedule_write(_ROW_KEY, lambda: b"content")
        await loops.until(lambda: context.rows.is_waiting)

    loops.run(context, begin())


@then("waiting for the stored state ends only after that write")
def waits_for_write(context):
    async def check():
        flushed = context.journal.flushed()
        await asyncio.sleep(0.1)
        assert not flushed.done()
        context.rows.gate.set()
        await asyncio.wait_for(flushed, 2.0)

    loops.run(context, check())
    assert _stored(context) == b"content"


def _write_rows(context, contents, heartbeat=b""):
    """Schedules rows and then the heartbeat; waits until all are handled."""

    async def write():
        for row_key, content in contents.items():
            context.journal.schedule_write(row_key, lambda value=content: value)
        if heartbeat:
            context.journal.schedule_urgent_write(
                records.HEARTBEAT, lambda: heartbeat
            )
        await context.journal.flushed()

    loops.run(context, write())


def _rows(count, content):
    return {
        records.progress_row_key(f"{number:016x}"): content
        for number in range(count)
    }


@when("{count:d} rows and then the heartbeat are written")
def write_backlog(context, count):
    context.rows.batches.clear()
    _write_rows(context, _rows(count, b"row"), b"beat")


@then("the heartbeat is stored with the first transaction")
def heartbeat_first(context):
    assert records.HEARTBEAT in context.rows.batches[0]
    assert len(context.rows.batches) > 1


@when("a row that the store rejects and the heartbeat are written")
def write_rejected(context):
    _write_rows(context, _rows(1, b"x" * (memory_store.ROW_BYTES + 1)), b"beat")


@when("a heartbeat is scheduled during each write")
def heartbeat_in_each_write(context):
    applied = context.rows.apply

    def apply(transaction):
        context.journal.schedule_urgent_write(
            records.HEARTBEAT, lambda: b"beat"
        )
        return applied(transaction)

    context.rows.apply = apply


@then("the heartbeat is stored")
def heartbeat_stored(context):
    assert context.rows.rows[records.HEARTBEAT].value == b"beat"


@then("a row that is written afterwards is stored")
def stored_afterwards(context):
    _write(context, b"content")
    assert _stored(context) == b"content"


@when("{count:d} rows of {size:d} bytes are written")
def write_long_rows(context, count, size):
    _write_rows(context, _rows(count, b"x" * size))
    assert len(context.rows.rows) == count + 1


@then("no transaction has more than 1 MB")
def transaction_sizes(context):
    assert max(context.rows.sizes) <= 1_000_000, context.rows.sizes


@when("another instance is elected")
def elect_other(context):
    context.rows.apply(store.Transaction((), ((records.ELECTION, b"2"),)))


@when("a row is written")
def write_row(context):
    _write(context, b"content")


@then("the journal reports that leadership was lost")
def leadership_lost(context):
    assert isinstance(
        context.journal_task.exception(), journal.LeadershipLostError
    )


@then("the store does not hold the row")
def holds_no_row(context):
    assert _stored(context) is None


_STEP = strategies.builds(
    model.StepSpec,
    task_count=strategies.integers(1, 9),
    demand=strategies.builds(
        model.Demand, *[strategies.integers(0, 9000) for _ in range(3)]
    ),
    estimate_ms=strategies.integers(0, 9000),
    after=strategies.lists(strategies.integers(0, 3)).map(tuple),
    is_gang=strategies.booleans(),
    data_rack=strategies.text(max_size=5),
    max_per_worker=strategies.integers(0, 3),
)
_ADVICE = strategies.none() | strategies.builds(
    model.PlacementAdvice, *[strategies.floats(0, 900) for _ in range(3)]
)
_JOB = strategies.builds(
    model.JobRecord,
    job_id=strategies.just("a" * 16),
    queue=strategies.builds(
        model.Queue,
        *[strategies.text(max_size=5) for _ in range(4)],
        strategies.integers(0, 3),
        strategies.integers(1, 4),
        strategies.floats(0, 9),
        strategies.floats(0, 9),
        strategies.booleans(),
        _ADVICE,
    ),
    workspace=strategies.text(max_size=5),
    accepted_ms=strategies.integers(0, 10**13),
    spec=strategies.builds(
        model.JobSpec,
        payload=strategies.text(max_size=50),
        steps=strategies.lists(_STEP, min_size=1, max_size=3).map(tuple),
        occurrences=strategies.integers(0, 4),
    ),
    is_cancelled=strategies.booleans(),
)


@then("every generated job is unchanged after encoding and decoding")
def equal_after_storing(context):
    @hypothesis.given(_JOB)
    def check(record):
        content = records.encode_job(record)
        assert records.decode_job(record.job_id, content) == record

    check()


@then("the rejected row does not count as stored")
def rejected_not_stored(context):
    async def check():
        await asyncio.sleep(_WRITE_S)
        (row_key,) = context.journal.unstored_rows
        context.rejected = context.journal.stored((row_key,))
        await asyncio.sleep(_WRITE_S)
        assert not context.rejected.done()

    loops.run(context, check())


@then("the flush at the end of a leadership does not wait for it")
def flush_ends(context):
    async def check():
        assert context.journal.flushed().done()

    loops.run(context, check())


@when("the content of the rejected row shrinks")
def shrink_rejected(context):
    (row_key,) = context.journal.unstored_rows

    async def shrink():
        context.journal.schedule_write(row_key, lambda: b"short")

    loops.run(context, shrink())


@then("the rejected row counts as stored")
def rejected_stored(context):
    async def check():
        await context.rejected

    loops.run(context, check())


@then("a wait for a row that is written afterwards ends")
def wait_ends(context):
    async def check():
        context.journal.schedule_write(_ROW_KEY, lambda: b"content")
        await context.journal.stored((_ROW_KEY,))

    loops.run(context, check())
