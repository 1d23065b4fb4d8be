"""Steps for links between entry instances."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap import errors
from marigoldgap.entries import codec
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.scheduling import model
from tests.fixtures import peer_hubs
from tests.fixtures import scenario_loop

_NOTICE = messages.AllowanceNotice(model.Term(1, "e1"), "claims", 1, 1, 1)


def _run(context, awaitable):
    return scenario_loop.run(context, awaitable)


async def _linked(cluster, first, second):
    await peer_hubs.until(
        lambda: cluster.hubs[first].is_linked(second)
        and cluster.hubs[second].is_linked(first)
    )


@given('peer hubs "{names}" in one zone')
def start_hubs(context, names):
    cluster = context.cluster = peer_hubs.HubCluster()
    context.names = names.split(", ")

    async def start():
        for name in context.names:
            await cluster.start(name)
        for name in context.names[1:]:
            await _linked(cluster, context.names[0], name)

    _run(context, start())
    context.add_cleanup(lambda: _run(context, cluster.stop()))


@given('peer hub "{name}" in another zone')
def start_other_zone(context, name):
    _run(context, context.cluster.start(name, "centro-b"))


@when('hub "{name}" announces a term')
def announce_term(context, name):
    context.cluster.hubs[name].membership.next_term()


@when('hubs "{first}" and "{second}" announce their terms')
def announce_terms(context, first, second):
    announce_term(context, first)
    announce_term(context, second)


@then('all hubs obey the term of "{name}"')
def all_obey(context, name):
    hubs = context.cluster.hubs.values()
    _run(
        context,
        peer_hubs.until(
            lambda: all(h.membership.term.instance_id == name for h in hubs)
        ),
    )


@when('hub "{name}" joins with another cluster secret')
def join_without_secret(context, name):
    start = context.cluster.start(name, cluster_secret="another-secret-16")
    _run(context, start)
    _run(context, asyncio.sleep(0.3))


@then('the hubs "{names}" still answer calls and do not know "{name}" as live')
def not_admitted(context, names, name):
    first, second = names.split(", ")
    hub = context.cluster.hubs[first]
    _run(context, hub.call(second, _NOTICE))
    assert name not in hub.membership.members
    assert not hub.is_linked(name)


@when('an unauthenticated client sends random bytes to "{name}"')
def send_random(context, name):
    async def send():
        port = context.cluster.hubs[name].bound_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"\x00\x00\x00\x10" + b"\xfe" * 60)
        context.rest = await reader.read()
        writer.close()

    _run(context, send())


@then('the client\'s connection is closed and "{name}" still answers "{peer}"')
def still_answers(context, name, peer):
    challenge = codec.decode(context.rest[4:]).message
    assert isinstance(challenge, messages.Challenge)
    _run(context, context.cluster.hubs[peer].call(name, _NOTICE))


@when('hub "{name}" is killed')
def kill_hub(context, name):
    _run(context, context.cluster.kill(name))


@then('hub "{name}" reports that "{peer}" is lost')
def reports_lost(context, name, peer):
    members = context.cluster.hubs[name].membership
    _run(context, peer_hubs.until(lambda: peer not in members.members))


@then('hub "{name}" is linked again after a restart')
def linked_again(context, name):
    cluster = context.cluster
    _run(context, cluster.start(name))
    _run(context, _linked(cluster, "e1", name))
    assert name in cluster.hubs["e1"].membership.members


@when('"{name}" calls "{peer}", which is killed before it answers')
def call_and_kill(context, name, peer):
    async def call():
        cluster = context.cluster
        query = job_messages.JobQuery("a.1")
        task = asyncio.create_task(cluster.hubs[name].call(peer, query, 60_000))
        await peer_hubs.until(lambda: cluster.receivers[peer].received)
        await cluster.kill(peer)
        return await scenario_loop.outcome(task)

    context.call_error = _run(context, call())


@then("the peer call failed and the outcome is unknown")
def call_unknown(context):
    assert isinstance(context.call_error, errors.PeerUnavailableError)
    assert context.call_error.ran is errors.Ran.UNKNOWN


@then('a call to "{peer}" without a link says that nothing was sent')
def call_unsent(context, peer):
    hub = context.cluster.hubs["e1"]
    error = _run(context, scenario_loop.outcome(hub.call(peer, _NOTICE)))
    assert isinstance(error, errors.PeerNotLinkedError), error
    assert error.ran is errors.Ran.NO


@when('a call of "{name}" times out before "{peer}" answers it')
def call_times_out(context, name, peer):
    hub = context.cluster.hubs[name]
    query = job_messages.JobQuery("a.1")
    call = scenario_loop.outcome(hub.call(peer, query, timeout_ms=100))
    assert isinstance(_run(context, call), errors.PeerUnavailableError)
    context.cluster.receivers[peer].released.set()


@then("the late peer answer is ignored and the next call gets its own answer")
def next_call(context):
    query = job_messages.JobQuery("a.2")
    reply = _run(context, context.cluster.hubs["e1"].call("e2", query))
    assert reply.status == "a.2"


@when('"{name}" sends the same call twice to "{peer}"')
def send_twice(context, name, peer):
    async def send():
        hub = context.cluster.hubs[name]
        link = hub._links.get(peer)
        for _ in range(2):
            link.send(codec.Envelope(_NOTICE, correlation=2**40))
        await hub.call(peer, job_messages.JobQuery("a.1"), 10_000)

    context.cluster.receivers[peer].released.set()
    context.cluster.hubs[name]._correlation = 2**40
    _run(context, send())


@then('"{name}" handled one call')
def handled_once(context, name):
    received = context.cluster.receivers[name].received
    assert [message for _, message in received].count(_NOTICE) == 1


@then('"{first}" and "{second}" are linked but "{other}" and "{same}" are not')
def links_across(context, first, second, other, same):
    _run(context, _linked(context.cluster, first, second))
    assert not context.cluster.hubs[other].is_linked(same)
