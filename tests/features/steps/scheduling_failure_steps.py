"""Steps for quarantine, retries, sizes and preemption."""

from __future__ import annotations

import itertools

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap.rules import model as rules_model
from marigoldgap.scheduling import model
from marigoldgap.scheduling import preemption
from marigoldgap.scheduling import quarantine
from marigoldgap.scheduling import resources
from marigoldgap.scheduling import retry_budget
from marigoldgap.scheduling import size_estimates
from tests.fixtures import scheduling

PROBE_MS = 30_000
SETTLE_MS = 5_000


def almost_one():
    return 1 - 2**-53


@given("a quarantine tracker for 5 failures")
def new_tracker(context):
    context.tracker = quarantine.QuarantineTracker(5, PROBE_MS, almost_one)


@when("5 different jobs fail on worker w1")
def jobs_fail(context):
    for number in range(5):
        # Two failures of a job on one worker count once.
        context.tracker.failed("w1", f"j{number}", 0)
        context.verdict = context.tracker.failed("w1", f"j{number}", 0)
        assert context.tracker.is_quarantined("w1") == (number == 4)


@then("worker w1 is in quarantine and no job is failed")
def worker_quarantined(context):
    assert context.tracker.quarantined() == {"w1"}
    for number in range(5):
        for worker in ("w2", "w3"):
            verdict = context.tracker.failed(worker, f"j{number}", 1)
            assert not verdict.job_failed


@when("10 bad jobs fail on 3 workers each")
def bad_jobs(context):
    context.failed_jobs = set()
    for number in range(10):
        for worker in ("w1", "w2", "w3"):
            verdict = context.tracker.failed(worker, f"bad{number}", 0)
            context.failed_jobs |= {number} if verdict.job_failed else set()


@then("the bad jobs are failed and no worker is in quarantine")
def jobs_failed(context):
    assert context.failed_jobs == set(range(10))
    assert not context.tracker.quarantined()


@then("failed probes of w1 double the delay up to 64 times the first")
def probes_back_off(context):
    context.now_ms = 0
    for doublings in (0, 1, 2, 3, 4, 5, 6, 6):
        due_ms = context.now_ms + PROBE_MS * 2**doublings
        assert not context.tracker.probe_due("w1", due_ms - PROBE_MS // 2)
        assert context.tracker.probe_due("w1", due_ms)
        context.tracker.probe_started("w1")
        assert not context.tracker.probe_due("w1", due_ms)
        context.tracker.failed("w1", "probe", due_ms)
        context.now_ms = due_ms


@then("late failures of older tasks do not delay the probe of w1")
def late_failures(context):
    due_ms = context.now_ms + PROBE_MS * 64
    context.tracker.failed("w1", "old", due_ms)
    assert context.tracker.probe_due("w1", due_ms)


@then("a successful probe ends the quarantine of w1")
def probe_succeeds(context):
    context.tracker.probe_started("w1")
    assert context.tracker.succeeded("w1", "probe")
    assert not context.tracker.is_quarantined("w1")


@when("failures of 4 jobs alternate with a success on worker w1")
def mixed_results(context):
    for round_number in range(5):
        for number in range(4):
            context.tracker.failed("w1", f"j{round_number}-{number}", 0)
        context.tracker.succeeded("w1", "good")


@then("worker w1 is not in quarantine")
def worker_serves(context):
    assert not context.tracker.quarantined()


@given("a retry budget of 10 percent and 3 attempts")
def new_budget(context):
    context.budget = retry_budget.RetryBudget(rules_model.RetryRule(3, 10))


@when("10000 tasks of a team all fail")
def outage(context):
    context.retries = 0
    for _ in range(10_000):
        context.budget.first_attempt("claims")
        for attempt in (1, 2):
            context.retries += context.budget.take("claims", attempt)


@then("at most 1010 retries of the team are allowed")
def within_budget(context):
    # The budget is a tenth of the first attempts plus the initial balance of
    # 10; nearly all of it is used.
    assert 1_000 <= context.retries <= 1_010, context.retries


@then("no task is allowed a fourth attempt")
def attempts_bounded(context):
    assert context.budget.take("other", 2)
    assert not context.budget.take("other", 3)


@then("retry delays cover the range from 0 to the doubling bound")
def full_jitter(context):
    budget = retry_budget.RetryBudget(rules_model.RetryRule(), 100, 1_000)
    for attempt, bound in ((1, 100), (2, 200), (4, 800), (5, 1_000)):
        assert budget.delay_ms(attempt, lambda: 0.0) == 0
        assert budget.delay_ms(attempt, almost_one) == bound - 1


@given("a task that declared 1000 millicores and uses 3000")
def oversized_task(context):
    context.sizes = size_estimates.SizeEstimates(SETTLE_MS)
    context.sizes.begin("t1", model.Resources(1, 1, 1_000, 1_000))


@then(
    "late reports of an overcommitted worker lead to throttle, checkpoint, stop"
)
def ordered_actions(context):
    actions = []
    for second in range(60):
        usage = size_estimates.Usage(3_000, 900, second * 1_000 - 2_000)
        found = context.sizes.report("t1", usage, True, second * 1_000)
        if found.action is not size_estimates.Action.NONE:
            actions.append((found.action.value, second))
    names = [name for name, _ in actions]
    assert names[:4] == ["throttle", "checkpoint", "stop", "stop"]
    seconds = [second for _, second in actions]
    # Each action gets the settling time plus the delay of the reports.
    for earlier, later in itertools.pairwise(seconds):
        assert later - earlier >= (SETTLE_MS + 2_000) // 1_000


@then("a single high report or a worker with spare capacity leads to no action")
def no_action(context):
    for overcommitted, usages in (
        (True, [3_000, 500] * 9),
        (False, [3_000] * 9),
    ):
        sizes = size_estimates.SizeEstimates(SETTLE_MS)
        sizes.begin("t1", model.Resources(1, 1, 1_000, 1_000))
        for number, millicores in enumerate(usages):
            usage = size_estimates.Usage(millicores, 900, number * 10_000)
            found = sizes.report("t1", usage, overcommitted, number * 10_000)
            assert found.action is size_estimates.Action.NONE


@then("corrected sizes cover declared sizes and used memory for any reports")
def sizes_cover(context):
    amounts = strategies.integers(0, 10_000)
    reports = strategies.lists(strategies.tuples(amounts, amounts, amounts))

    @hypothesis.given(amounts, amounts, reports)
    def check(millicores, memory, values):
        sizes = size_estimates.SizeEstimates(SETTLE_MS)
        declared = model.Resources(1, 1, millicores, memory)
        sizes.begin("t1", declared)
        latest = -1
        for used_cores, used_memory, at_ms in values:
            usage = size_estimates.Usage(used_cores, used_memory, at_ms)
            found = sizes.report("t1", usage, False, at_ms)
            assert resources.fits_in(declared, found.size)
            if at_ms > latest:
                assert found.size.memory_mib >= used_memory
                latest = at_ms

    check()


def victim(number, team, lost_ms, slots=1, **fields):
    size = model.Resources(slots, slots)
    task = model.RunningTask(f"v{number}", "w1", team, "bundles", size)
    return preemption.Victim(
        task, fields.pop("checkpointable", True), lost_ms, **fields
    )


@then("the chosen victims free enough, are allowed and form a minimal set")
def victims_minimal(context):
    drawn = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["above", "within"]),
            strategies.integers(0, 50),
            strategies.integers(1, 4),
            strategies.booleans(),
        ),
        max_size=8,
    )

    @hypothesis.given(
        strategies.integers(1, 8), strategies.integers(0, 3), drawn
    )
    def check(needed, free_slots, values):
        victims = [
            victim(number, team, lost, slots, checkpointable=flag)
            for number, (team, lost, slots, flag) in enumerate(values)
        ]
        urgent = scheduling.task(1, resources=model.Resources(needed, needed))
        free = {"w1": model.Resources(free_slots, free_slots)}
        plan = preemption.choose_victims(
            urgent, free, {"w1": victims}, {"above": 0.1, "within": -0.1}
        )
        sizes = {v.task.task_id: v.task.resources.slots for v in victims}
        allowed = {v.task.task_id for v in victims if v.checkpointable}
        possible = free_slots + sum(sizes[name] for name in allowed) >= needed
        assert (plan is not None) == possible
        if plan is None:
            return
        assert set(plan.task_ids) <= allowed
        gained = [sizes[name] for name in plan.task_ids]
        assert free_slots + sum(gained) >= needed
        assert all(
            free_slots + sum(gained) - slots < needed for slots in gained
        )

    check()


@given(
    "a cheap victim of a team within its share and a costly one of a team above"
)
def two_victims(context):
    context.cheap = victim(1, "within", 1)
    context.costly = victim(2, "above", 1_000)


def chosen_victims(victims):
    plan = preemption.choose_victims(
        scheduling.task(1),
        {"w1": resources.NONE},
        {"w1": victims},
        {"above": 0.1, "within": -0.1},
    )
    return plan.task_ids


@then("the costly victim of the team above its share is chosen")
def above_first(context):
    assert chosen_victims([context.cheap, context.costly]) == ("v2",)


@then("without it the cheap victim is chosen")
def within_next(context):
    assert chosen_victims([context.cheap]) == ("v1",)
