"""Steps for membership, terms and the byte budget."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap.entries import membership
from marigoldgap.entries import messages
from marigoldgap.entries import traffic
from marigoldgap.scheduling import model
from tests.fixtures import peer_hubs

_START_MS = 10_000
_DEAD_AFTER = {"peers": {"dead_after_ms": 2_000}}


class _Listener:

    def __init__(self):
        self.calls = []

    def member_linked(self, instance_id):
        self.calls.append(("linked", instance_id))

    def member_lost(self, instance_id):
        self.calls.append(("lost", instance_id))

    def term_changed(self, term):
        self.calls.append(("term", term))


def _hello(instance_id, incarnation="1"):
    return messages.Hello(instance_id, "centro-a", incarnation, b"", b"")


def _heartbeat(draining):
    return messages.Heartbeat(draining, model.NO_TERM, 0, 0, True, (), (), ())


@given('a membership of "{own_id}" with live instances "{names}"')
def create_membership(context, own_id, names):
    settings = peer_hubs.make_settings(own_id, **_DEAD_AFTER)
    context.members = membership.Membership(settings, 0)
    context.listener = _Listener()
    context.members.subscribe(context.listener)
    for name in names.split(", "):
        context.members.record_link(_hello(name), _START_MS)
    context.members.detect_failures(_START_MS)
    context.listener.calls.clear()


@when('{silence} ms pass without a message from "{name}"')
def pass_silence(context, silence, name):
    context.moment = _START_MS + int(silence.replace(",", ""))
    for peer in context.members.peers():
        if peer.instance_id != name:
            context.members.record_message(peer.instance_id, context.moment)
    context.members.detect_failures(context.moment)


@when('"{name}" says that it is draining')
def say_draining(context, name):
    context.moment = _START_MS
    context.members.apply_heartbeat(name, _heartbeat(draining=True))


@then('"{name}" is "{state}" and the proposed coordinator is "{coordinator}"')
def check_state(context, name, state, coordinator):
    assert context.members.peer(name).state == state
    proposed = context.members.proposed_coordinator(context.moment)
    assert proposed == coordinator, proposed


@then("after a pause of 5 s it proposes no coordinator before it is linked")
def discovers_after_pause(context):
    resumed_ms = _START_MS + 5_000
    assert context.members.detect_failures(resumed_ms) == ["e1", "e3"]
    assert context.members.proposed_coordinator(resumed_ms) is None
    for name in ("e1", "e3"):
        context.members.record_link(_hello(name), resumed_ms + 100)
    proposed = context.members.proposed_coordinator(resumed_ms + 100)
    assert proposed == "e1", proposed


@when('"{name}" connects with a new incarnation')
def connect_again(context, name):
    context.members.record_link(_hello(name, "2"), _START_MS)


@then('the listener was notified that "{name}" was lost and linked again')
def notified_of_restart(context, name):
    assert context.listener.calls == [("lost", name), ("linked", name)]


@when('"{own_id}" starts a term after it saw term {counter:d} of "{name}"')
def start_term(context, own_id, counter, name):
    assert context.members.observe_term(model.Term(counter, name))
    context.term = context.members.next_term()


@then('the term is 8 of "{own_id}" and term 7 of "{former}" is refused')
def check_term(context, own_id, former):
    assert context.term == model.Term(8, own_id)
    assert not context.members.observe_term(model.Term(7, former))
    assert context.members.is_coordinator


@then("a membership that sees term 7 of its own id is not coordinator")
def own_earlier_term(context):
    members = context.members
    members.observe_term(model.Term(7, members.instance_id))
    assert not members.is_coordinator
    assert members.next_term().counter == 8
    assert members.is_coordinator


@then("the term seen by a membership is the highest of any sequence")
def term_never_decreases(context):
    terms = strategies.builds(
        model.Term, strategies.integers(1, 5), strategies.sampled_from("abc")
    )

    @hypothesis.given(strategies.lists(terms, min_size=1))
    def check(sequence):
        members = membership.Membership(peer_hubs.make_settings("e1"), 0)
        for index, term in enumerate(sequence):
            accepted = members.observe_term(term)
            highest = max(sequence[: index + 1])
            assert members.term == highest
            assert accepted == (term == highest)

    check()


@given("a byte budget of {rate:d} bytes per second")
def create_budget(context, rate):
    context.budget = traffic.ByteBudget(rate, 0)


@when("{size:d} bytes of control messages are sent at once")
def send_burst(context, size):
    context.budget.charge(size, 0)


@then("digests wait for 2 s and control messages are never delayed")
def digests_wait(context):
    assert not context.budget.allows_digest(1_999)
    assert context.budget.allows_digest(2_001)
    assert context.budget.delayed_digests == 1
