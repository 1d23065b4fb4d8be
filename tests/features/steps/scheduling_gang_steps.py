"""Steps for the gang planner."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap.scheduling import gang_model
from marigoldgap.scheduling import gang_planner
from marigoldgap.scheduling import model
from tests.fixtures import scheduling

RESERVATION_MS = 30_000
ONE_SLOT = model.Resources()


def gang(tasks, job_id="j1"):
    return gang_model.Gang(job_id, scheduling.SERVICE, tasks, ONE_SLOT)


def free_slots(**slots):
    return {
        name: model.Resources(count, count) for name, count in slots.items()
    }


@then("a gang is committed only if all its tasks are reserved, for any replies")
def all_or_none(context):
    slot_counts = strategies.lists(
        strategies.integers(0, 6), min_size=1, max_size=5
    )

    @hypothesis.given(strategies.integers(1, 12), slot_counts, slot_counts)
    def check(tasks, digest, actual):
        names = [f"e{number}" for number in range(len(digest))]
        free = free_slots(**dict(zip(names, digest, strict=True)))
        actual_slots = dict(zip(names, [*actual, *[0] * 5], strict=False))
        planner = gang_planner.GangPlanner(RESERVATION_MS)
        plan = planner.begin(gang(tasks), free, 0)
        assert (plan is None) == (sum(digest) < tasks)
        held = dict.fromkeys(names, 0)
        requested = list(plan.counts.items()) if plan else []
        while requested:
            name, count = requested.pop()
            reserved = min(count, actual_slots[name] - held[name])
            held[name] += reserved
            more = planner.record_reserved("j1", name, reserved, free, 1)
            requested += more.counts.items() if more else []
        committed = planner.commit("j1", 2)
        assert committed == (plan is not None and sum(held.values()) == tasks)
        holders = planner.holders("j1")
        assert all(name in holders for name in names if held[name])
        # The service is free for the next gang in every case.
        assert planner.begin(gang(1, "j2"), free_slots(e9=1), 3) is not None

    check()


@given("a gang of 6 tasks on digests of e1 with 6 and e2 with 4 slots")
def gang_on_digests(context):
    context.planner = gang_planner.GangPlanner(RESERVATION_MS)
    context.free = free_slots(e1=6, e2=4)
    plan = context.planner.begin(gang(6), context.free, 0)
    assert plan.counts == {"e1": 6}


@when("e1 reserves only 4 of the gang's tasks")
def partly_reserved(context):
    context.plan = context.planner.record_reserved(
        "j1", "e1", 4, context.free, 10
    )


@then("e2 is asked for the missing 2 tasks")
def asked_for_rest(context):
    assert context.plan.counts == {"e2": 2}
    assert not context.planner.commit("j1", 11)


@then("the gang is ready once e2 has reserved 2")
def gang_ready(context):
    context.planner.record_reserved("j1", "e2", 2, context.free, 12)
    assert context.planner.state("j1") is gang_model.GangState.READY
    assert context.planner.commit("j1", 13)


@given("a gang of 20 tasks on digests with 10 slots")
def gang_too_large(context):
    context.planner = gang_planner.GangPlanner(RESERVATION_MS)
    assert context.planner.begin(gang(20), free_slots(e1=10), 0) is None


@when("the gang holds the service for 30000 ms")
def gang_holds(context):
    assert context.planner.hold(gang(20), 0)
    assert not context.planner.hold(gang(5, "j2"), 1)
    assert context.planner.begin(gang(5, "j2"), free_slots(e1=10), 1) is None


@then("a task of 20000 ms is backfilled but not one of 40000 ms or unknown")
def backfilled(context):
    allowed = [
        context.planner.may_backfill(
            scheduling.task(1, "batch", expected_run_ms=run_ms), 0
        )
        for run_ms in (20_000, 40_000, None)
    ]
    assert allowed == [True, False, False]


@then(
    "after the hold every task may start and the gang may not hold again at once"
)
def hold_ends(context):
    assert context.planner.may_backfill(scheduling.task(1), RESERVATION_MS)
    assert not context.planner.hold(gang(20), RESERVATION_MS)
    assert context.planner.hold(gang(5, "j2"), RESERVATION_MS)


@given("a gang that is fully reserved")
def gang_reserved(context):
    context.planner = gang_planner.GangPlanner(RESERVATION_MS)
    free = free_slots(e1=4)
    context.planner.begin(gang(4), free, 0)
    context.planner.record_reserved("j1", "e1", 4, free, 1)


@when("28000 of its 30000 ms have passed")
def time_passes(context):
    context.now_ms = 28_000


@then("the gang is not committed and must be released at its holders")
def not_committed(context):
    assert not context.planner.commit("j1", context.now_ms)
    assert context.planner.state("j1") is gang_model.GangState.EXPIRED
    assert context.planner.holders("j1") == {"e1"}


@then("24 workers with 8 slots can run a gang of 192 tasks but not 193")
def impossible_gang(context):
    workers = {f"w{number}": scheduling.CAPACITY for number in range(24)}
    assert not gang_planner.is_impossible(gang(192), workers)
    assert gang_planner.is_impossible(gang(193), workers)
