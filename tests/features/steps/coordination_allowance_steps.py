"""Steps for allowances and holdings."""

from __future__ import annotations

import collections

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap.coordination import allowance_policy
from tests.features.steps import coordination_zone_steps as zone_steps


def _held(context, names=None):
    world = context.world
    return {
        name: instance.holdings.account("claims").holding
        for name, instance in world.instances.items()
        if (names is None or name in names) and name not in world.net.dead
    }


def _ask(context, name, units):
    coordination = context.world.coordinations[name]
    zone_steps.run(context, coordination.request_holding("claims", units))


def _row(context):
    return context.world.store.rows["allowance/claims"].value


def _check_bounds(context):
    """Checks the row and the holdings of all zones against the limit."""
    limit = context.world.config.rules.teams["claims"].limit
    assert sum(_row(context)["zones"].values()) <= limit, _row(context)
    assert sum(_held(context).values()) <= limit, _held(context)
    assert not context.world.violations, context.world.violations


@given('"{name}" asks for {units:d} units of "claims"')
@when('"{name}" asks for {units:d} units of "claims"')
def ask_units(context, name, units):
    _ask(context, name, units)
    zone_steps.advance(context, 1_000)


@when('"{name}" asks for {units:d} units of "claims" for {seconds:d} s')
def ask_repeatedly(context, name, units, seconds):
    for _ in range(seconds * 2):
        missing = units - _held(context)[name]
        if missing > 0:
            _ask(context, name, missing)
        zone_steps.advance(context, 500)
        _check_bounds(context)


@when(
    '"{name}" asks for {units:d} units of "claims" and its zone is'
    " partitioned after 1 s"
)
def ask_and_cut(context, name, units):
    ask_repeatedly(context, name, units, 1)
    net = context.world.net
    context.cut_zone = net.peers[name].zone
    net.cut_zones.add(context.cut_zone)
    context.asking = name
    ask_repeatedly(context, name, units, 10)


@when("the responses to {count:d} store writes of allowance rows are lost")
def lose_answers(context, count):
    context.world.store.lost_prefix = "allowance/"
    context.world.store.lost_answers = count


@when('the limit of "claims" is lowered to {limit:d}')
def lower_limit(context, limit):
    context.world.config.set_team("claims", limit)


@when('the store is down and the limit of "claims" is raised to {limit:d}')
def raise_without_store(context, limit):
    context.world.store.down = True
    context.world.config.set_team("claims", limit)


@then(
    '"{name}" holds at least {units:d} units and all instances together at'
    " most {limit:d}"
)
def holds_in_bounds(context, name, units, limit):
    zone_steps.advance(context, 1_000)
    held = _held(context)
    assert held[name] >= units, held
    assert sum(held.values()) <= limit, held


@then('"{name}" still holds {units:d} units and the next coordinator is "{to}"')
def still_holds(context, name, units, to):
    assert _held(context)[name] == units
    zone_steps.advance(context, 4_000)
    assert context.world.coordinator() == to


@then(
    '"{name}" gets units of "claims" within {seconds:d} s and all hold at most'
    " {limit:d}"
)
def gets_units(context, name, seconds, limit):
    ask_repeatedly(context, name, limit, seconds)
    held = _held(context)
    assert held[name] >= 1, held
    assert sum(held.values()) <= limit, held


@then('only one instance coordinates "{zone}" and its term is the highest')
def one_coordinator(context, zone):
    world = context.world
    roles = [c.role for c in world.coordinations.values() if c.role]
    assert len(roles) == 1, roles
    terms = {peers.membership.term for peers in world.net.peers.values()}
    assert terms == {roles[0].term}, terms


@then('all instances together hold at most {units:d} units of "claims"')
def together_at_most(context, units):
    held = _held(context)
    assert sum(held.values()) <= units, held


@then('the rows and the zones never exceed the limit of "claims"')
def never_exceed(context):
    _check_bounds(context)


@then('"{name}" holds at least {units:d} units of "claims"')
def holds_at_least(context, name, units):
    held = _held(context)
    assert held[name] >= units, (held, _row(context))


@then("both zones keep serving their units during the partition")
def serve_while_cut(context):
    zones = _row(context)["zones"]
    for name in ("e3", context.asking):
        zone = context.world.net.peers[name].zone
        ask_repeatedly(context, name, zones[zone], 2)
        assert _held(context)[name] >= 1, (_held(context), zones)


@then("after the partition heals the zones still never exceed the limit")
def heal(context):
    context.world.net.cut_zones.clear()
    ask_repeatedly(context, context.asking, 12, 10)


@then(
    "within {seconds:d} s the zones together may use at most {limit:d} units"
    ' of "claims"'
)
def lowered(context, seconds, limit):
    zone_steps.advance(context, seconds * 1_000)
    assert sum(_row(context)["zones"].values()) <= limit, _row(context)
    assert sum(_held(context).values()) <= limit, _held(context)


@then("for any demand the requested and released allowances stay in bounds")
def policy_bounds(context):
    numbers = strategies.integers(0, 50)
    demands = strategies.builds(
        allowance_policy.ZoneDemand, numbers, numbers, numbers
    )
    others = strategies.dictionaries(
        strategies.sampled_from(["b", "c", "d"]), demands
    )

    @hypothesis.given(strategies.integers(1, 100), demands, others)
    def check(limit, own, other_zones):
        zones = ["a", *other_zones]
        parts = [
            allowance_policy.even_part(limit, zone, zones) for zone in zones
        ]
        assert sum(parts) == limit
        wanted = allowance_policy.wanted_allowance(limit, parts[0], own)
        assert 0 <= wanted <= limit
        target = allowance_policy.rebalancing_target(
            limit, "a", own, other_zones
        )
        assert target is None or 0 <= target < own.allowance

    check()


@given("{count:d} more teams whose allowances are confirmed")
def more_teams(context, count):
    world = context.world
    for number in range(count):
        world.config.set_team(f"team-{number}", 12)
    zone_steps.advance(context, 6_000)
    allowances = world.coordinations["e1"].role.allowances
    assert len(allowances._confirmed) == count + 1, len(allowances._confirmed)
    context.demand_reads = collections.Counter()
    context.row_reads = []
    ask, read = allowances._other_demands, allowances._table.get

    def counted_ask(team):
        context.demand_reads[team] += 1
        return ask(team)

    async def counted_read(key):
        context.row_reads.append(key)
        return await read(key)

    allowances._other_demands = counted_ask
    world.store.get = counted_read


@when("{seconds:d} s pass in the zone without demand")
def pass_without_demand(context, seconds):
    zone_steps.advance(context, seconds * 1_000)


@when('"{name}" lacks units of "{team}" for {milliseconds:d} ms')
def miss_units(context, name, team, milliseconds):
    context.row_reads.clear()
    coordination = context.world.coordinations[name]
    zone_steps.run(context, coordination.request_holding(team, 50))
    zone_steps.advance(context, milliseconds)


@then("the demand of other zones was read at most {reads:d} times per team")
def few_demand_reads(context, reads):
    assert max(context.demand_reads.values(), default=0) <= reads, max(
        context.demand_reads.values()
    )


@then('the coordinator has read the row of "{team}" and of no other team')
def only_row_read(context, team):
    assert set(context.row_reads) == {f"allowance/{team}"}, context.row_reads
