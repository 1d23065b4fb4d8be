"""Steps for group commit."""

from __future__ import annotations

import asyncio
import itertools

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap import errors
from marigoldgap.table_service import model
from tests.fixtures import loops
from tests.fixtures import table_double


def _put(key, value=1, *checks):
    puts = (model.Put(key, value),)
    return model.Transaction(tuple(checks), puts)


def _commit_all(context, transactions):
    async def commit():
        return await asyncio.gather(
            *(context.platform.committer.commit(each) for each in transactions),
            return_exceptions=True,
        )

    context.outcomes = loops.run(context, commit())


def _writes(context):
    requests = context.table_double.requests
    return [each.json() for each in requests if each.method == "POST"]


@given("a platform with a table service in memory")
def start_platform(context):
    context.table_double, context.platform = table_double.connect(context)


@given("a platform with a table service in memory and timeouts of {ms:d} ms")
def start_platform_with_timeouts(context, ms):
    context.table_double, context.platform = table_double.connect(
        context, request_timeout_ms=ms
    )


@given('the table service will "{fault}" on the next write')
def set_write_fault(context, fault):
    context.table_double.faults.append(fault)


@given("the table service stops for good after it received a write")
def stop_after_write(context):
    http = context.table_double
    http.is_faulty = lambda request: any(
        each.method == "POST" for each in http.requests
    )
    http.faults = ["drop before"] * 1_000


@given("another process replaces the writer row")
def replace_writer_row(context):
    _commit_all(context, [_put("warm-up")])
    context.table_double.state.commit(
        {
            "checks": [],
            "puts": [{"key": "writers/entry-1", "value": {"token": "x"}}],
            "deletes": [],
        }
    )


@when("{count:d} transactions of one row are committed at once")
def commit_many(context, count):
    _commit_all(context, [_put(f"row/{index}") for index in range(count)])


@when(
    "{count:d} transactions are committed at once and number {number:d} checks"
    " an old version"
)
def commit_with_conflict(context, count, number):
    checks = {number: (model.Check(f"row/{number}", 999),)}
    _commit_all(
        context,
        [_put(f"row/{n}", 1, *checks.get(n, ())) for n in range(count)],
    )


@when('the row "{key}" is put with values 1 to {last:d} at once')
def commit_same_row(context, key, last):
    _commit_all(context, [_put(key, value) for value in range(1, last + 1)])


@when('the row "{key}" is committed with a check that it is absent')
def commit_absent(context, key):
    check = model.Check(key, model.ABSENT_VERSION)
    _commit_all(context, [_put(key, 1, check)])


@when("the held write arrives late")
def release_held_write(context):
    async def release():
        context.table_double.release.set()
        await asyncio.sleep(0.05)

    loops.run(context, release())


@then("all {count:d} commits succeed")
def all_succeed(context, count):
    assert len(context.outcomes) == count
    assert all(isinstance(each, int) for each in context.outcomes)
    assert sum(k.startswith("row/") for k in context.table_double.rows) == count


@then(
    "at most {count:d} writes reached the table service, each of at most"
    " {rows:d} rows"
)
def writes_are_joined(context, count, rows):
    writes = _writes(context)
    assert len(writes) <= count, len(writes)
    assert all(len(write["puts"]) <= rows for write in writes)


@then('only transaction number {number:d} fails with "{code}"')
def only_one_fails(context, number, code):
    failed = {
        index: outcome
        for index, outcome in enumerate(context.outcomes)
        if isinstance(outcome, Exception)
    }
    assert list(failed) == [number], failed
    assert failed[number].code == code
    context.conflict = failed[number]


@then('its error names the row "{key}"')
def error_names_row(context, key):
    assert context.conflict.keys == (key,)


@then('the row "{key}" holds {value:d}')
def row_holds(context, key, value):
    assert context.table_double.rows[key] == value


@then('the commit outcome is "{outcome}"')
def commit_outcome_is(context, outcome):
    [actual] = context.outcomes
    name = actual.code if isinstance(actual, errors.MarigoldgapError) else ""
    assert (name or "committed") == outcome, repr(actual)


@then('the row "{key}" was written {times:d} times')
def row_written_times(context, key, times):
    assert context.table_double.applied[key] == times


@when(
    'the row "{late}" is committed while the write of "{early}" is unresolved'
)
def commit_behind_unresolved_write(context, late, early):
    async def commit():
        committer = context.platform.committer
        first = asyncio.create_task(committer.commit(_put(early)))
        while not _writes(context):
            await asyncio.sleep(0)
        second = committer.commit(_put(late))
        outcomes = await asyncio.gather(second, first, return_exceptions=True)
        return outcomes[0]

    context.late_commit = loops.run(context, commit())


@then('the commit of "{key}" fails with "{code}" and is never sent')
def commit_fails_unsent(context, key, code):
    assert context.late_commit.code == code
    puts = [put for write in _writes(context) for put in write["puts"]]
    assert key not in [put["key"] for put in puts]


_FAULTS = ("", "drop before", "drop after", "hold", "slow", "fail", "refuse")


async def _commit_with_faults(context, keys, faults):
    """Commits rows while requests fail; returns the outcome of each row."""
    double, platform = context.table_double, context.platform
    double.release.clear()
    double.faults = list(faults)
    commits = [
        platform.committer.commit(_put(key, 1, model.Check(key, 0)))
        for key in keys
    ]
    outcomes = await asyncio.gather(*commits, return_exceptions=True)
    double.release.set()
    double.faults = []
    # The released writes arrive now; the loop waits until the table service
    # answers again.
    while isinstance(await _read(platform), Exception):
        await asyncio.sleep(0.01)
    return dict(zip(keys, outcomes, strict=True))


async def _read(platform):
    [result] = await asyncio.gather(
        platform.table.get("any"), return_exceptions=True
    )
    return result


@then("under any faults committed rows are written once and refused ones never")
def check_outcomes_under_faults(context):
    double = context.table_double
    double.is_faulty = lambda request: True
    examples = itertools.count()

    @hypothesis.given(
        strategies.lists(strategies.sampled_from(_FAULTS), max_size=8),
        strategies.integers(1, 6),
    )
    @hypothesis.settings(max_examples=60)
    def check(faults, count):
        example = next(examples)
        keys = [f"fuzz/{example}/{number}" for number in range(count)]
        outcomes = loops.run(
            context, _commit_with_faults(context, keys, faults)
        )
        context.fuzzed.append((outcomes, faults))

    context.fuzzed = []
    check()
    loops.run(context, asyncio.sleep(0.1))
    for outcomes, faults in context.fuzzed:
        for key, outcome in outcomes.items():
            _check_outcome(outcome, double.applied[key], faults)


def _check_outcome(outcome, times, faults):
    if isinstance(outcome, int):
        assert times == 1, (outcome, times, faults)
        return
    assert isinstance(outcome, errors.MarigoldgapError), outcome
    max_times = 1 if outcome.ran is errors.Ran.UNKNOWN else 0
    assert times <= max_times, (outcome, times, faults)
