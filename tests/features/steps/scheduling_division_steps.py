"""Steps for rendezvous hashing and shares."""

from __future__ import annotations

import collections

from behave import then
import hypothesis
from hypothesis import strategies

from bench import compare_policies
from marigoldgap.scheduling import model
from marigoldgap.scheduling import rendezvous
from marigoldgap.scheduling import resources
from marigoldgap.scheduling import shares

NAMES = strategies.lists(
    strategies.text(min_size=1, max_size=3), min_size=2, unique=True
)
AMOUNTS = strategies.integers(0, 1_000)
TOLERANCE = 1e-6


@then("the rendezvous owner does not depend on the order of the candidates")
def order_is_irrelevant(context):
    @hypothesis.given(strategies.text(), NAMES, strategies.randoms())
    def check(key, names, source):
        owner = rendezvous.rendezvous_owner(key, names)
        source.shuffle(names)
        assert rendezvous.rendezvous_owner(key, names) == owner

    check()


@then("removing a candidate changes the rendezvous owner of its keys only")
def minimal_change(context):
    @hypothesis.given(strategies.lists(strategies.text()), NAMES)
    def check(keys, names):
        for key in keys:
            owner = rendezvous.rendezvous_owner(key, names)
            after = rendezvous.rendezvous_owner(key, names[1:])
            assert after == owner or owner == names[0]

    check()


@then("8 candidates own between 400 and 600 of 4000 rendezvous keys each")
def even_spread(context):
    names = [f"entry-{number}" for number in range(8)]
    owned = collections.Counter(
        rendezvous.rendezvous_owner(f"w{key}", names) for key in range(4_000)
    )
    assert all(400 <= owned[name] <= 600 for name in names), owned


@then("max-min targets are feasible, complete and weighted for any demands")
def max_min_properties(context):
    teams = strategies.dictionaries(
        strategies.sampled_from("abcdefg"),
        strategies.tuples(AMOUNTS, AMOUNTS),
        min_size=1,
    )

    @hypothesis.given(AMOUNTS, teams)
    def check(capacity, drawn):
        weights = {team: share for team, (share, _) in drawn.items()}
        demands = {team: demand for team, (_, demand) in drawn.items()}
        targets = shares.max_min_targets(capacity, weights, demands)
        used = sum(targets.values())
        expected = min(capacity, sum(demands.values()))
        assert abs(used - expected) <= TOLERANCE * max(1, expected)
        levels = []
        for team, target in targets.items():
            assert -TOLERANCE <= target <= demands[team] + TOLERANCE
            if weights[team] and target < demands[team] - TOLERANCE:
                levels.append(target / weights[team])
        # All unsatisfied teams have the same target per weight, the highest.
        satisfied = [
            target / weights[team]
            for team, target in targets.items()
            if weights[team] and target >= demands[team] - TOLERANCE
        ]
        if levels:
            assert max(levels) - min(levels) <= TOLERANCE * max(1, *levels)
            slack = max(levels) * (1 + TOLERANCE) + TOLERANCE
            assert all(level <= slack for level in satisfied)

    check()


@then("the dominant fraction of 4 of 8 slots and 12 of 16 cores is 0.75")
def dominant(context):
    used = model.Resources(4, 64, 12_000, 0, 1)
    total = model.Resources(8, 64, 16_000, 65_536, 0)
    assert resources.dominant_fraction(used, total) == 0.75
    usage = shares.dominant_usage({"claims": used}, total)
    targets = {"claims": 0.5, "checks": 0.25}
    assert shares.distance_to_targets(usage, targets) == 0.25


@then(
    "for layout {layout} marigoldgap is closer to the shares than both baselines"
)
def closer_to_shares(context, layout):
    results = compare_policies.compare(layout, seed=3, duration_s=60)
    *context.baselines, context.chosen = results
    assert context.chosen.scheduler == "marigoldgap"
    for baseline in context.baselines:
        assert context.chosen.share_distance < baseline.share_distance


@then(
    "small requests of layout {layout} wait less at p99 than with both baselines"
)
def shorter_waits(context, layout):
    for baseline in context.baselines:
        wait = baseline.waiting["quick"].p99_ms
        assert context.chosen.waiting["quick"].p99_ms < wait, baseline
