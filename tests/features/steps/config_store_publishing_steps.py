"""Steps for publishing configuration versions."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap import errors
from marigoldgap.config_store import encoding
from marigoldgap.config_store import in_force
from marigoldgap.config_store import model
from marigoldgap.config_store import state as state_module
from marigoldgap.config_store import version_changes
from marigoldgap.table_service import model as table_service_model
from tests.fixtures import config_world
from tests.fixtures import rules_texts
from tests.fixtures import table_double
from tests.standins import table_state

_MAX_TRIES = 100


def _changed(limit):
    return rules_texts.EXAMPLE.replace("limit 200", f"limit {limit}")


@given("two instances with published rules")
def two_instances(context):
    context.world = config_world.ConfigWorld(context)


@given('the answer to the next write is lost by "{fault}"')
def lose_answer(context, fault):
    context.world.double.faults.append(fault)


@when('"ana" and "luis" change the limit on line 1 at the same time')
def race(context):
    async def apply():
        calls = [
            store.publisher.apply_rules(1, _changed(limit), author)
            for store, limit, author in zip(
                context.world.stores, (150, 250), ("ana", "luis"), strict=True
            )
        ]
        return await asyncio.gather(*calls, return_exceptions=True)

    context.race = dict(
        zip(("ana", "luis"), context.world.run(apply()), strict=True)
    )


@then("exactly one of the two changes is accepted")
def one_accepted(context):
    refused = [
        author
        for author, result in context.race.items()
        if isinstance(result, Exception)
    ]
    assert len(refused) == 1, context.race
    context.refused_author = refused[0]
    assert context.world.double.rows["config/head"] == {"version": 2}


@then("the conflict of the other names line 1 and the accepted author")
def conflict_named(context):
    error = context.race[context.refused_author]
    [accepted] = set(context.race) - {context.refused_author}
    assert error.code == "version-conflict", error
    assert f"{accepted} changed line 1 in version 2" in error.detail, error


@when("{count:d} keys are granted at both instances at the same time")
def grant_many(context, count):
    async def grant():
        calls = [
            store.publisher.grant_key("claims", "ana")
            for store in context.world.stores
            for _ in range(count)
        ]
        return await asyncio.gather(*calls, return_exceptions=True)

    context.outcomes_of_operators = context.world.run(grant())


@when('"ana" changes the limit on line 1 based on the version before')
def apply_on_old_base(context):
    publisher = context.world.stores[0].publisher
    outcome = context.world.outcome(
        publisher.apply_rules(1, _changed(150), "ana")
    )
    context.outcomes_of_operators.append(outcome)


@then("no operator got an error")
def no_errors(context):
    outcomes = context.outcomes_of_operators
    assert not any(isinstance(each, Exception) for each in outcomes), outcomes


@then("all {count:d} keys are stored")
def keys_stored(context, count):
    configuration = context.world.run(
        context.world.stores[0].reader.configuration_at(14)
    )
    assert (
        len(configuration.keys) == count
        and "limit 150" in configuration.rules_text
    )


@when('"ana" changes the limit on line 1 until it succeeds')
def apply_until_success(context):
    publisher = context.world.stores[0].publisher
    for _ in range(_MAX_TRIES):
        outcome = context.world.outcome(
            publisher.apply_rules(1, _changed(150), "ana")
        )
        if not isinstance(outcome, Exception):
            return
        assert isinstance(outcome, errors.StoreUnavailableError), outcome
    raise AssertionError("never applied")


@then("the stored version is {version:d} and line 1 is changed")
def stored_version(context, version):
    world = context.world
    assert world.double.rows["config/head"] == {"version": version}
    configuration = world.run(world.stores[0].reader.configuration_at(version))
    assert configuration.rules_text == _changed(150)


@when("the same rules are applied again at the other instance")
def apply_again(context):
    publisher = context.world.stores[1].publisher
    context.again = context.world.run(
        publisher.apply_rules(0, rules_texts.EXAMPLE, "eva")
    )


@then("the result is version 1 without a change")
def no_change(context):
    assert context.again == (1, False), context.again


@when('the table service fails while "ana" changes the limit on line 1')
def apply_in_outage(context):
    http = context.world.double
    http.is_faulty = lambda request: True
    http.faults = ["fail"] * 1_000
    context.refused = context.world.outcome(
        context.world.stores[0].publisher.apply_rules(1, _changed(150), "ana")
    )


@then('the change is refused with "{code}"')
def change_refused(context, code):
    assert context.refused.code == code, repr(context.refused)


@then("the first instance still has version 1")
def still_version(context):
    assert context.world.stores[0].state.version == 1


@then("the change succeeds after the table service recovers")
def change_succeeds(context):
    context.world.double.faults.clear()
    apply_until_success(context)


def _chain(count):
    """Returns versions 1 to `count`; each third withdraws the key before."""
    changes = []
    for number in range(1, count + 1):
        record = model.KeyRecord(f"{number:016x}", "claims", "", "", "", 0)
        kind, content = model.KIND_KEY, version_changes.key_content(record)
        if number % 3 == 0:
            kind = model.KIND_WITHDRAWAL
            content = version_changes.withdrawal_content(f"{number - 1:016x}")
        changes.append(model.ConfigVersion(number, kind, "", 0, content))
    return changes


@then("versions adopted in any order, with repeats and gaps, never revert")
def never_revert(context):
    chain = _chain(12)
    expected = [model.EMPTY_CONFIGURATION]
    for change in chain:
        expected.append(version_changes.apply_version(expected[-1], change))
    batches = strategies.lists(
        strategies.lists(strategies.sampled_from(chain), max_size=4),
        max_size=20,
    )

    @hypothesis.given(batches)
    def check(orders):
        state = state_module.ConfigState()
        for batch in orders:
            before, denied = state.version, state.denied
            state.adopt(batch)
            assert state.version >= before and state.denied >= denied
            assert state.configuration == expected[state.version]

    check()


@when("the table service is restored from an empty backup")
def restore_empty(context):
    context.world.double.state = table_state.TableState()


@then("polling keeps version 1")
def polling_keeps(context):
    store = context.world.stores[0]
    context.world.run(store.poller.poll_once())
    assert store.state.version == 1


@then('changing rules is refused with "{code}"')
def changing_refused(context, code):
    publisher = context.world.stores[0].publisher
    outcome = context.world.outcome(
        publisher.apply_rules(1, _changed(150), "ana")
    )
    assert outcome.code == code, repr(outcome)


@when("{count:d} more versions are published")
def publish_many(context, count):
    async def publish():
        for _ in range(count):
            await context.world.stores[0].publisher.grant_key("claims", "ana")

    context.world.run(publish())


@then("a new instance reads the newest version with at most {count:d} requests")
def reads_snapshot(context, count):
    world = context.world
    fresh = world.store(world.platforms[1], instance_id="entry-3")
    world.double.requests.clear()
    assert world.run(fresh.poller.poll_once())
    assert len(world.double.requests) <= count
    assert fresh.state.configuration == world.stores[0].state.configuration


class _PeerDouble:
    """A peer that serves the versions of a configuration state."""

    def __init__(self, state):
        self._state = state

    async def fetch_versions(self, since):
        return encoding.decode(
            encoding.encode(self._state.versions_since(since))
        )

    async def fetch_denied(self):
        return self._state.denied


@when("an instance starts while the table service is down")
def start_in_outage(context):
    world = context.world
    world.run(world.double.stop())
    context.fresh = world.store(world.platforms[1], instance_id="entry-3")
    world.run(context.fresh.poller.load(_PeerDouble(world.stores[0].state)))


@then("it gets version 1 from a peer")
def version_from_peer(context):
    assert (
        context.fresh.state.configuration
        == context.world.stores[0].state.configuration
    )


@then("versions survive encoding")
def encoding_round_trip(context):
    chain = tuple(_chain(5))
    assert encoding.decode(encoding.encode(chain)) == chain


@then("decoding any bytes gives versions or a protocol error")
def fuzz_decoding(context):
    valid = encoding.encode(_chain(3))

    @hypothesis.given(
        strategies.binary(max_size=60), strategies.integers(0, 99)
    )
    def check(data, keep):
        try:
            encoding.decode(valid[: keep * len(valid) // 100] + data)
        except errors.ProtocolError:
            pass

    check()


@given('a tracker with two instances in zone "centro-a" and one in "centro-b"')
def tracker(context):
    common = ("r", "", "", "", "", "live")
    entries = [
        table_service_model.InstanceEntry(name, "entry", zone, *common)
        for name, zone in (
            ("entry-1", "centro-a"),
            ("entry-2", "centro-a"),
            ("entry-3", "centro-b"),
        )
    ]

    class Listed:

        def entries(self, zone=None):
            return tuple(entries)

    state = state_module.ConfigState()
    state.adopt(_chain(1))
    settings = table_double.settings_for("127.0.0.1:9")
    context.tracker = in_force.InForceTracker(settings, state, Listed())
    assert context.tracker.version_in_force(1)["centro-a"] is False


@when('the other instance of zone "centro-a" reports version 1')
def report_version(context):
    context.tracker.report_version("entry-2", 1)


@then('version 1 is in force in "centro-a" and not in "centro-b"')
def in_force_in(context):
    zones = context.tracker.version_in_force(1)
    assert zones == {"centro-a": True, "centro-b": False}, zones


@then('version 1 is in force in "centro-b" once its coordinator reports it')
def coordinator_reports(context):
    context.tracker.report_zone("centro-b", 1)
    assert all(context.tracker.version_in_force(1).values())
