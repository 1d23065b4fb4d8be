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

_ROW_KEY = records.progress_row_key("a" * 16)


class _MemoryStore:
    """Store in memory that can delay transactions and lose their answers.

    A transaction with the fault "hold" is kept in `held`; the test applies it
    later.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.faults = []
        self.held = []
        # Event for which each transaction waits before it is applied.
        self.gate = None
        self.is_waiting = False

    async def transact(self, transaction):
        if self.gate is not None:
            self.is_waiting = True
            await self.gate.wait()
        fault = self.faults.pop(0) if self.faults else None
        if fault == "hold":
            self.held.append(transaction)
            raise store.StoreUnknownError("no answer")
        version = self.apply(transaction)
        if fault == "lose":
            raise store.StoreUnknownError("no answer")
        return version

    def apply(self, transaction):
        for check in transaction.checks:
            row = self.rows.get(check.row_key)
            if (row.version if row else 0) != check.version:
                found = [
                    self.rows[each.row_key]
                    for each in transaction.checks
                    if each.row_key in self.rows
                ]
                raise store.CheckFailedError(tuple(found))
        self.version += 1
        for row_key, value in transaction.writes:
            self.rows[row_key] = store.Row(row_key, value, self.version)
        return self.version


@given("a journal on a store in memory")
def create_journal(context):
    context.rows = _MemoryStore()
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
