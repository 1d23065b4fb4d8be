"""Steps for the term barrier."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap.coordination import barrier
from marigoldgap.scheduling import model
from tests.fixtures import barrier_world

_START_MS = 1_000
_LAPSE_MS = 12_500

_FAULTS = strategies.tuples(
    strategies.sampled_from(["pause", "resume", "kill", "cut", "none"]),
    strategies.integers(0, 5),
    strategies.integers(1, 12),
)


def _names(text):
    return text.split(", ")


@given('a term barrier over workers "{workers}" with a current list')
def create_barrier(context, workers):
    term = model.Term(1, "e1")
    context.barrier = barrier.TermBarrier(term, _LAPSE_MS, _START_MS)
    context.barrier.record_list(_names(workers), _START_MS + 1)
    context.barrier.unsettled(_START_MS)
    context.zone_members = set()


@when('"{instance_id}" acknowledges with workers "{workers}"')
def acknowledge(context, instance_id, workers):
    context.zone_members.add(instance_id)
    context.barrier.acknowledge(instance_id, _names(workers), _START_MS)


@when('the list names only "{workers}"')
def list_workers(context, workers):
    context.barrier.record_list(_names(workers), _START_MS + 2)


@when('"{instance_id}" dies before it reports and the list is not read again')
def die_unreported(context, instance_id):
    context.barrier.member_lost(instance_id, _START_MS + 10)


@then('the barrier waits for "{worker_id}"')
def waits_for(context, worker_id):
    assert context.barrier.unsettled(_START_MS) == {worker_id}
    assert not context.barrier.is_settled(context.zone_members, _START_MS)


@then("the barrier is settled")
def is_settled(context):
    assert context.barrier.is_settled(context.zone_members, _START_MS)


@then('the barrier waits for "{worker_id}" for {wait:d} ms and is settled then')
def settled_after_expiry(context, worker_id, wait):
    before = _START_MS + wait - 1
    assert context.barrier.unsettled(before) == {worker_id}
    assert not context.barrier.is_settled(context.zone_members, before)
    assert context.barrier.is_settled(context.zone_members, before + 1)


@then("the barrier is settled only after {wait:d} ms")
def settled_without_list(context, wait):
    at = _START_MS + 10 + wait
    assert not context.barrier.is_settled(context.zone_members, at - 1)
    assert context.barrier.is_settled(context.zone_members, at)


@then('the barrier is not settled while "{instance_id}" is a member')
def member_missing(context, instance_id):
    members = context.zone_members | {instance_id}
    assert not context.barrier.is_settled(members, _START_MS)


def _run_world(faults, fencing):
    """Runs faults until a settled barrier hides a running task.

    Returns:
        The number of settled steps and the workers with hidden tasks, if any.
    """
    world = barrier_world.BarrierWorld(4, 3, fencing)
    settled = 0
    for action, index, steps in faults:
        world.apply(action, index)
        for _ in range(steps):
            world.step()
            if world.is_settled():
                settled += 1
                if world.unknown_tasks():
                    return settled, world.unknown_tasks()
    return settled, []


@then("no settled barrier leaves a running task unreported")
def never_hides(context):
    moments = []

    @hypothesis.settings(max_examples=500)
    @hypothesis.given(strategies.lists(_FAULTS, max_size=12))
    def check(faults):
        settled, hidden = _run_world(faults, fencing=True)
        moments.append(settled)
        assert not hidden, hidden

    check()
    assert sum(moments) > 0, "the barrier never settled"


@then("without fencing after a pause some settled barrier hides a task")
def unfenced_hides(context):
    # An instance resumes, acquires a worker that the others could not reach,
    # starts a task before it is linked, and is paused again.
    faults = [
        ("cut", 3, 12),
        ("pause", 0, 16),
        ("cut", 3, 0),
        ("resume", 0, 1),
        ("cut", 3, 0),
        ("pause", 0, 20),
    ]
    assert not _run_world(faults, fencing=True)[1]
    assert _run_world(faults, fencing=False)[1]
