"""Steps for outages of the platform."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap import errors
from marigoldgap.events import builder as events_builder
from marigoldgap.metrics import builder as metrics_builder
from marigoldgap.table_service import observer
from tests.fixtures import loops
from tests.fixtures import table_double

_MAX_PROBES = 100


@given("the table service is stopped")
def stop_table(context):
    loops.outcome(context, context.table_double.stop())


@given("the table service never answers")
def never_answers(context):
    context.table_double.is_faulty = lambda request: True
    context.table_double.faults = [table_double.SLOW] * 1_000


@then("at most {reads:d} reads arrived")
def at_most_reads_arrived(context, reads):
    paths = [each.path for each in context.table_double.requests]
    assert sum(path.startswith("/v1/rows/") for path in paths) <= reads, paths


@given('the connection was used before and breaks on "{method}" requests')
def break_reused(context, method):
    loops.outcome(context, context.platform.objects.get("warm-up"))
    http = context.table_double
    http.is_faulty = lambda request: request.method == method
    http.faults = [table_double.DROP_AFTER] * 5


@given("an instance list with an entry instance and a worker was read")
def read_list(context):
    common = {"zone": "centro-a", "region": "centro", "rack": "r1"}
    context.table_double.instances = {
        "instances": [
            {"id": "e1", "kind": "entry", "address": "127.0.0.1:1", **common},
            {"id": "w1", "kind": "worker", "address": "127.0.0.1:2", **common},
        ]
    }
    assert loops.outcome(context, context.platform.instances.refresh()) is True


@when("{count:d} rows are read one after another")
def read_rows(context, count):
    async def read():
        table = context.platform.table
        reads = []
        for number in range(count):
            read = table.get(f"row/{number}")
            reads += await asyncio.gather(read, return_exceptions=True)
        return reads

    context.reads = loops.run(context, read())


@when("the table service starts again")
def restart_table(context):
    loops.outcome(context, context.table_double.start())


@given("an observer of the platform")
def observe_platform(context):
    settings = table_double.settings_for("127.0.0.1:9")
    context.event_log = events_builder.build(settings).ring
    context.sampled = metrics_builder.build(settings)
    observer.PlatformObserver(
        context.platform, context.event_log, context.sampled
    )


@when("the observer samples the platform")
def sample_platform(context):
    context.sampled.sample()


@then("the outage and the recovery of the table service are recorded")
def outage_recorded(context):
    context.sampled.sample()
    recorded = [(e.name, e.fields) for e in context.event_log.events()]
    assert recorded == [
        ("service-down", {"service": "table service"}),
        ("service-up", {"service": "table service"}),
    ], recorded


@when('an object is written with "{method}"')
def write_object(context, method):
    objects = context.platform.objects
    call = objects.put("k", b"data") if method == "PUT" else objects.delete("k")
    context.write_outcome = loops.outcome(context, call)


@when('a read of "{key}" times out on a reused connection')
def read_times_out(context, key):
    double = context.table_double
    puts = [{"key": f"row/{name}", "value": name} for name in "ab"]
    double.state.commit({"puts": puts})
    loops.outcome(context, context.platform.table.get("row/b"))
    double.is_faulty = lambda request: request.path.endswith(key)
    double.faults = [table_double.SLOW]
    outcome = loops.outcome(context, context.platform.table.get(key))
    assert isinstance(outcome, errors.StoreUnavailableError), outcome


@when('the late answer arrives before "{key}" is read')
def late_answer(context, key):
    async def read():
        context.table_double.release.set()
        await asyncio.sleep(0.05)
        return await context.platform.table.get(key)

    context.late_read = loops.outcome(context, read())


@when('the instance list becomes "{fault}"')
def set_list_fault(context, fault):
    if fault == "unreachable":
        loops.outcome(context, context.table_double.stop())
    elif fault == "empty":
        context.table_double.instances = {"instances": []}
    else:
        context.table_double.instances = {"instances": "none"}
    assert loops.outcome(context, context.platform.instances.refresh()) is False


@then('every read fails with "{code}"')
def reads_fail(context, code):
    assert {read.code for read in context.reads} == {code}


@then("the table service is known to be down")
def table_known_down(context):
    assert context.platform.table.is_down


@then("reads succeed again after background probes")
def reads_recover(context):
    async def read_until_up():
        for _ in range(_MAX_PROBES):
            try:
                return await context.platform.table.get("row/1")
            except errors.StoreUnavailableError:
                await asyncio.sleep(0.1)
        raise AssertionError("the breaker never closed")

    assert loops.outcome(context, read_until_up()) is None


@then('the write fails with "{code}"')
def write_fails(context, code):
    assert context.write_outcome.code == code, repr(context.write_outcome)


@then('exactly {count:d} "{method}" request arrived')
def count_requests(context, count, method):
    requests = context.table_double.requests
    assert sum(each.method == method for each in requests) == count


@then('the read of "{key}" returns the value of "{other}"')
def read_returns_own_value(context, key, other):
    assert context.late_read.value == other[-1], context.late_read


@then("the list still has the entry instance and the worker")
def list_kept(context):
    instances = context.platform.instances
    assert [each.instance_id for each in instances.entries()] == ["e1"]
    assert [each.instance_id for each in instances.workers("centro-a")] == [
        "w1"
    ]


class _CountedEntries(tuple):
    """Counts the entries that iterations return."""

    iterated = 0

    def __iter__(self):
        for entry in super().__iter__():
            type(self).iterated += 1
            yield entry


@given("an instance list with {count:d} instances in {zones:d} zones was read")
def read_long_list(context, count, zones):
    common = {"region": "centro", "rack": "r1", "address": "127.0.0.1:1"}
    listed = [
        {
            "id": f"i{number}",
            "kind": "entry" if number < zones else "worker",
            "zone": f"zone-{number % zones}",
            **common,
        }
        for number in range(count)
    ]
    context.table_double.instances = {"instances": listed}
    assert loops.outcome(context, context.platform.instances.refresh()) is True


@given("the instance list is sent without entity tags")
def send_no_tags(context):
    context.table_double.has_entity_tags = False


@when("the instance list is read {times:d} times more")
def read_list_again(context, times):
    context.table_double.requests.clear()
    context.table_double.full_list_responses = 0
    for _ in range(times):
        found = loops.outcome(context, context.platform.instances.refresh())
        assert found is True, repr(found)


@then("{times:d} reads of the list were answered without its content")
def answered_without_content(context, times):
    assert len(context.table_double.requests) == times
    assert context.table_double.full_list_responses == 0


@when("a worker of the list starts leaving and the list is read")
def worker_starts_leaving(context):
    context.table_double.instances["instances"][-1]["state"] = "leaving"
    assert loops.outcome(context, context.platform.instances.refresh()) is True


@then("the instance list shows the worker as leaving")
def shows_leaving(context):
    instances = context.platform.instances
    changed = context.table_double.instances["instances"][-1]
    found = {each.instance_id: each.state for each in instances.workers()}
    assert found[changed["id"]] == "leaving"
    zoned = instances.workers(changed["zone"])
    assert "leaving" in {each.state for each in zoned}


@then("{queries:d} queries for the workers of a zone iterate over no instance")
def queries_use_index(context, queries):
    instances = context.platform.instances
    before = instances.workers("zone-1")
    assert len(before) == 99
    instances._all = _CountedEntries(instances._all)
    for _ in range(queries):
        assert instances.workers("zone-1") == before
    assert _CountedEntries.iterated == 0, _CountedEntries.iterated


@when("the unchanged instance list is read {count:d} more times")
def read_unchanged_list(context, count):
    for _ in range(count):
        refresh = context.platform.instances.refresh()
        assert loops.outcome(context, refresh) is True
    context.list_reads = count + 1


@then("the whole instance list was sent once")
def whole_list_sent_once(context):
    unchanged = context.table_double.applied["unchanged list"]
    assert context.list_reads - unchanged == 1
