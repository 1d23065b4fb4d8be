"""Steps for single components of an entry instance."""

from __future__ import annotations

import types

from behave import given
from behave import then
from behave import when

from marigoldgap.entries import membership
from marigoldgap.entries import messages
from marigoldgap.scheduling import model
from marigoldgap.serving import ownership
from marigoldgap.serving import usage_reporter
from marigoldgap.table_service import model as table_service_model
from tests.fixtures import settings_fixtures


def _heartbeat(draining=False, running=()):
    return messages.Heartbeat(
        draining=draining,
        term=model.NO_TERM,
        config_version=1,
        generation=1,
        full=True,
        free=(),
        waiting=(),
        running=tuple(messages.Count(*each) for each in running),
    )


def _with_peer(settings):
    members = membership.Membership(settings, 0)
    hello = messages.Hello("peer-1", settings.zone, "one", b"", b"")
    members.record_link(hello, 1)
    return members


@given(
    'an instance that runs 1 task of "{own}" and a peer that runs {count:d} of "{other}"'
)
def instance_and_peer(context, own, count, other):
    members = _with_peer(settings_fixtures.make_settings())
    members.apply_heartbeat("peer-1", _heartbeat(running=((other, count),)))
    context.reported_usage = {}
    dispatcher = types.SimpleNamespace(
        holdings=types.SimpleNamespace(running_by_team=lambda: {own: 1}),
        usage=types.SimpleNamespace(report=context.reported_usage.update),
    )
    context.usage_reporter = usage_reporter.UsageReporter(dispatcher, members)


@when("the usage reporter reports")
def report_usage(context):
    context.usage_reporter.report()


@then('the reported usage of "{own}" is {mine:g} and of "{other}" {theirs:g}')
def usage_is(context, own, mine, other, theirs):
    assert context.reported_usage == {own: mine, other: theirs}


@given("an instance with a live peer and {count:d} listed workers")
def instance_with_workers(context, count):
    settings = settings_fixtures.make_settings()
    context.members = _with_peer(settings)
    entries = tuple(
        table_service_model.InstanceEntry(
            f"w{n}",
            "worker",
            settings.zone,
            "r",
            "k",
            "127.0.0.1:1",
            "",
            "s",
            "live",
        )
        for n in range(count)
    )
    context.proposals = []
    context.ownership = ownership.OwnershipTask(
        settings,
        context.members,
        types.SimpleNamespace(workers=lambda zone: entries),
        types.SimpleNamespace(set_candidates=context.proposals.append),
    )


@when("the ownership is reviewed before and while the peer is draining")
def review_ownership(context):
    context.members.apply_heartbeat("peer-1", _heartbeat())
    context.ownership.review()
    context.members.apply_heartbeat("peer-1", _heartbeat(draining=True))
    context.ownership.review()


@then("the instance owns some workers at first and all {count:d} afterwards")
def owns_all(context, count):
    first, second = (len(each) for each in context.proposals)
    assert 0 < first < count, first
    assert second == count, second
