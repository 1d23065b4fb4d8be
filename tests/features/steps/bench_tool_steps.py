"""Steps for layouts, wiring, plans, shares and the registry of faults."""

from __future__ import annotations

import json
import pathlib
import random
import tempfile

from behave import given
from behave import then
import hypothesis
from hypothesis import strategies

from bench import faults
from bench import layouts
from bench import mix
from bench import plans
from bench import shares
from bench import wiring
from marigoldgap.rules import parser

# The import registers the kinds of work.
_MIX = mix


@then(
    'layout "{name}" has {entries:d} entry instances, {workers:d} workers and'
    " {slots:d} slots"
)
def layout_sizes(context, name, entries, workers, slots):
    layout = layouts.find(name)
    assert sum(zone.entries for zone in layout.zones) == entries
    assert (layout.worker_count, layout.slots) == (workers, slots)


@given('the wiring of layout "{name}"')
def wire_layout(context, name):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    path = pathlib.Path(directory.name)
    context.wired = wiring.Wiring(layouts.find(name), path)
    context.wired.write_files()


@then("no zone has the direct address of another zone's entry instance")
def no_direct_entries(context):
    direct = {
        address
        for entry in context.wired.entries
        for address in (entry.address, entry.peer_address)
    }
    for entry in context.wired.entries:
        seen = context.wired.list_record(entry.instance_id)["addresses_from"]
        assert len(seen) == 2 and entry.zone.name not in seen
        for addresses in seen.values():
            assert not direct & set(addresses.values())


@then("no zone of the wiring has the direct address of the platform")
def no_direct_platform(context):
    services = context.wired.services
    direct = {services.table, services.objects, *services.lists.values()}
    for entry in context.wired.entries:
        values = json.loads(entry.settings_file.read_text())
        assert not direct & set(values["platform"].values())


@then("all traffic between regions shares two directions of 15 Mbit/s")
def shared_directions(context):
    plan = context.wired.routes.plan()
    limited = [
        fields for fields in plan["directions"].values() if fields["rate_mbit"]
    ]
    assert limited == [{"delay_ms": 20, "rate_mbit": 15}] * 2


@then("the first rules of every layout are accepted by the parser")
def rules_accepted(context):
    for layout in layouts.LAYOUTS.values():
        rules = parser.parse(layouts.rules_text(layout))
        assert set(rules.teams) == {team.name for team in layout.teams}
        assert set(rules.queues) == set(layout.queues)


def _draw(seed, count):
    source = plans.Source(random.Random(seed), layouts.QUETZAL)
    return [
        plans.draw(stream, source)
        for _ in range(count // 2)
        for stream in (plans.REQUESTS, plans.JOBS)
    ]


@then("two draws of {count:d} plans with seed {seed:d} are equal")
def equal_draws(context, count, seed):
    assert _draw(seed, count) == _draw(seed, count)


@then("draws of {count:d} plans with seeds {seed:d} and {other:d} differ")
def different_draws(context, count, seed, other):
    assert _draw(seed, count) != _draw(other, count)


_demands = strategies.lists(
    strategies.tuples(strategies.integers(1, 50), strategies.integers(0, 200)),
    min_size=1,
    max_size=8,
)


@then("share targets are fair for random demands")
def targets_fair(context):
    @hypothesis.given(strategies.integers(0, 500), _demands)
    def check(capacity, rows):
        weights = {index: share for index, (share, _) in enumerate(rows)}
        demands = {index: demand for index, (_, demand) in enumerate(rows)}
        targets = shares.targets(capacity, weights, demands)
        given_out = sum(targets.values())
        assert abs(given_out - min(capacity, sum(demands.values()))) < 1e-6
        levels = {team: targets[team] / weights[team] for team in targets}
        highest = max(levels.values())
        for team, level in levels.items():
            assert targets[team] <= demands[team] + 1e-6
            # A team below the highest level has its whole demand.
            if level < highest - 1e-6:
                assert targets[team] >= demands[team] - 1e-6

    check()


@then('the faults are "{names}"')
def fault_names(context, names):
    assert faults.names(faults.ALL) == names.split()


@then("an unknown fault is refused by name")
def unknown_fault(context):
    try:
        faults.names("entry-kill,earthquake")
    except faults.UnknownFaultError as error:
        assert "earthquake" in error.detail
        return
    raise AssertionError("an unknown fault was accepted")
