"""Steps for the preview of changed rules."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap.rules import parser
from marigoldgap.rules import preview
from marigoldgap.scheduling import shares
from tests.fixtures import rules_texts


@given(
    'a cluster of {slots:d} slots where "claims" runs {claims:d} and "public"'
    " runs {public:d}"
)
def cluster(context, slots, claims, public):
    running = {"claims": claims, "public": public}
    context.load = preview.ClusterLoad(slots, running, {})


@when('"{old}" becomes "{new}" in the previewed rules')
def change_rules(context, old, new):
    assert old in rules_texts.EXAMPLE
    context.preview = preview.preview(
        parser.parse(rules_texts.EXAMPLE),
        parser.parse(rules_texts.EXAMPLE.replace(old, new)),
        context.load,
        shares.max_min_targets,
    )


@then('the preview says "{sentence}"')
def preview_sentence(context, sentence):
    sentences = "\n".join(context.preview.sentences)
    assert sentence in sentences, sentences


def _rules(teams):
    return parser.parse(
        "".join(
            f"team {name} share {share} limit {limit} # x\n"
            for name, (share, limit) in teams.items()
        )
    )


@then("for any two sets of teams the effects agree with max_min_targets")
def effects_agree(context):
    amounts = strategies.tuples(
        strategies.integers(1, 50), strategies.integers(0, 50)
    )
    teams = strategies.dictionaries(strategies.sampled_from("abcd"), amounts)
    running = strategies.dictionaries(
        strategies.sampled_from("abcd"), strategies.integers(0, 60)
    )

    @hypothesis.given(teams, teams, running, strategies.integers(0, 100))
    def check(before, after, now, capacity):
        load = preview.ClusterLoad(capacity, now, {})
        result = preview.preview(
            _rules(before), _rules(after), load, shares.max_min_targets
        )
        assert {each.team for each in result.teams} == {*before, *after}
        for effect in result.teams:
            _check_effect(effect, before, after, now)
        assert (
            sum(each.target_after for each in result.teams) <= capacity + 1e-6
        )

    check()


def _check_effect(effect, before, after, now):
    limit = after.get(effect.team, (0, 0))[1]
    running = now.get(effect.team, 0)
    assert effect.above_limit == max(0, running - limit)
    assert effect.target_after <= min(limit, running) + 1e-9
    if effect.team not in before or effect.team not in after:
        assert effect.effect in ("new", "removed")
    elif effect.target_after > effect.target_before + 0.01:
        assert effect.effect == "gains", effect
    elif effect.target_after < effect.target_before - 0.01:
        assert effect.effect == "loses", effect
