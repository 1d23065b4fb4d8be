"""Steps for the propagation of configuration and withdrawn keys."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from marigoldgap.config_store import in_force
from marigoldgap.config_store import model as config_model
from marigoldgap.config_store import state as state_module
from marigoldgap.config_store import version_changes
from tests.features.steps import coordination_zone_steps as zone_steps
from tests.fixtures import control_world

_ZONES = {"e": "centro-a", "f": "occidente-a"}


def _version(number):
    record = config_model.KeyRecord(f"k{number}", "claims", "", "", "ana", 0)
    return config_model.ConfigVersion(
        number,
        config_model.KIND_KEY,
        "ana",
        0,
        version_changes.key_content(record),
    )


def _within(context, seconds, condition):
    zone_steps.advance_until(context, condition, seconds * 1_000)


def _named(context, names):
    return [context.states[name] for name in names.split(", ")]


@given('instances "{names}" of two zones with their own configuration')
def two_zones(context, names):
    world = context.world = control_world.ControlWorld()
    context.states, context.trackers = {}, {}
    for name in names.split(", "):
        zone = _ZONES[name[0]]
        state = state_module.ConfigState(lambda: world.net.now_ms)
        settings = control_world.settings_of(name, zone)
        tracker = in_force.InForceTracker(
            settings, state, control_world.WorkerList(world)
        )
        world.add_instance(name, zone, state, tracker)
        context.states[name] = state
        context.trackers[name] = tracker
    zone_steps.advance(context, 5_000)


@when('"{name}" adopts version {number:d}')
def adopt_version(context, name, number):
    async def adopt():
        context.states[name].adopt([_version(number)])

    zone_steps.run(context, adopt())


@when(
    'the zone of "{name}" is partitioned and "{by}" adopts versions 1 to'
    " {last:d}"
)
def cut_and_adopt(context, name, by, last):
    _cut_zone(context, name)
    for number in range(1, last + 1):
        adopt_version(context, by, number)


@when(
    'the zone of "{name}" is partitioned and key "{key_id}" is withdrawn at'
    ' "{by}"'
)
def cut_and_withdraw(context, name, key_id, by):
    _cut_zone(context, name)
    withdraw(context, key_id, by)
    zone_steps.advance(context, 5_000)


def _cut_zone(context, name):
    net = context.world.net
    net.cut_zones.add(net.peers[name].zone)
    zone_steps.advance(context, 5_000)


@when("the partition between the zones heals")
def heal_cut(context):
    context.world.net.cut_zones.clear()


@when('key "{key_id}" is withdrawn at "{name}"')
def withdraw(context, key_id, name):
    async def deny():
        context.states[name].deny([key_id])

    zone_steps.run(context, deny())


@then('within {seconds:d} s "{names}" have version {number:d} in force')
def in_force_within(context, seconds, names, number):
    states = _named(context, names)
    _within(context, seconds, lambda: all(s.version == number for s in states))


@then('after {seconds:d} s "{names}" have version {number:d} in force')
def in_force_after(context, seconds, names, number):
    zone_steps.advance(context, seconds * 1_000)
    versions = [state.version for state in _named(context, names)]
    assert set(versions) == {number}, versions


@then('"{name}" reports version {number:d} in force in both zones')
def reports_both(context, name, number):
    tracker = context.trackers[name]
    _within(context, 5, lambda: all(tracker.version_in_force(number).values()))


@then(
    '"{name}" does not report version {number:d} in force in the'
    " partitioned zone"
)
def reports_own(context, name, number):
    found = context.trackers[name].version_in_force(number)
    assert found == {"centro-a": True, "occidente-a": False}, found


@then('within {seconds:d} s "{names}" refuse key "{key_id}"')
def refuse_key(context, seconds, names, key_id):
    states = _named(context, names)
    _within(context, seconds, lambda: all(s.is_denied(key_id) for s in states))


@then('"{name}" reports key "{key_id}" as refused in both zones')
def key_refused(context, name, key_id):
    found = context.trackers[name].withdrawal_in_force(key_id, None)
    assert found == {"centro-a": True, "occidente-a": True}, found


@then('"{name}" reports key "{key_id}" as refused only in its own zone')
def key_refused_here(context, name, key_id):
    found = context.trackers[name].withdrawal_in_force(key_id, None)
    assert found == {"centro-a": True, "occidente-a": False}, found


@then('"{name}" can fetch version {number:d} and key "{key_id}" from its peers')
def fetch(context, name, number, key_id):
    zone_steps.advance(context, 1_000)
    relay = context.world.coordinations[name].relay
    versions = zone_steps.run(context, relay.fetch_versions(0))
    assert [version.version for version in versions] == [number]
    assert key_id in zone_steps.run(context, relay.fetch_denied())
