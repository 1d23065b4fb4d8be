"""Steps for the escrow that enforces team limits."""

from __future__ import annotations

import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from marigoldgap.scheduling import allowance_ledger
from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import holding_account
from marigoldgap.scheduling import model
from tests.fixtures import scheduling_escrow
from tests.fixtures import scheduling_escrow_actions

TEAM = scheduling_escrow.TEAM
TERM = model.Term(1, "a")
LIMIT = allowance_model.TeamLimit(10, 1)

EPISODES = 6_000
STEPS = 60


class EscrowMachine(stateful.RuleBasedStateMachine):

    def __init__(self):
        super().__init__()
        self.world = scheduling_escrow.World()

    @stateful.rule(
        action=strategies.sampled_from(scheduling_escrow_actions.ACTIONS),
        zone=strategies.integers(0, 1),
        number=strategies.integers(0, 1),
        age=strategies.integers(0, 1),
        units=strategies.integers(0, 10),
    )
    def act(self, action, zone, number, age, units):
        scheduling_escrow_actions.act(
            self.world, action, zone, number, age, units
        )

    @stateful.invariant()
    def never_above_limit(self):
        scheduling_escrow_actions.check(self.world)


@then("running and possible tasks never exceed the limit under any faults")
def run_escrow_machine(context):
    stateful.run_state_machine_as_test(
        EscrowMachine,
        settings=hypothesis.settings(
            max_examples=100, stateful_step_count=STEPS
        ),
    )


@then("running and possible tasks never exceed the limit on long random walks")
def walk_escrow(context):
    source = random.Random(7)
    for _ in range(EPISODES):
        world = scheduling_escrow.World()
        trace = []
        for _ in range(STEPS):
            action = source.choice(scheduling_escrow_actions.ACTIONS)
            values = [source.randrange(2) for _ in range(3)]
            step = (action, *values, source.randrange(11))
            trace.append(step)
            scheduling_escrow_actions.act(world, *step)
            scheduling_escrow_actions.check(world, trace)


def running_zone(holders):
    """Returns a ledger with 10 confirmed units and the holders' accounts."""
    ledger = allowance_ledger.AllowanceLedger("a", TERM)
    accounts = [holding_account.HoldingAccount(name) for name in holders]
    for name, account in zip(holders, accounts, strict=True):
        account.begin_term(TERM)
        ledger.record_term_report(name, {TEAM: account.report()})
    ledger.complete_barrier()
    ledger.record_row(TEAM, None, 0)
    ledger.write_succeeded(ledger.raise_write(TEAM, 10, LIMIT), 1)
    return ledger, accounts


@given(
    "a former coordinator whose reduction by 6 of 10 units is still in flight"
)
def pending_reduction(context):
    ledger, [account] = running_zone(["e1"])
    context.row = ledger.raise_write(TEAM, 10, LIMIT).row
    ledger.write_failed(allowance_model.AllowanceWrite(TEAM, context.row, 1))
    ledger.record_row(TEAM, context.row, 2)
    account.accept_grant(ledger.grant(TEAM, "e1", 3))
    notice = ledger.begin_reduction(TEAM, 4)
    account.accept_notice(notice)
    ledger.acknowledge("e1", TEAM, notice.sequence, account.report())
    context.delayed = ledger.reduction_write(TEAM, LIMIT)
    context.account = account


@when("its successor reads the row before the write takes effect")
def successor_reads(context):
    term = model.Term(2, "b")
    context.account.begin_term(term)
    context.ledger = allowance_ledger.AllowanceLedger("a", term)
    context.ledger.record_term_report("e1", {TEAM: context.account.report()})
    context.ledger.complete_barrier()
    context.ledger.record_row(TEAM, context.row, 2)


@then("the successor can grant only the units that its instances reported")
def successor_limited(context):
    assert context.ledger.allowance(TEAM) == 3
    assert context.ledger.grant(TEAM, "e1", 1) is None


@then("after the successor's own write the delayed write fails")
def delayed_write_fails(context):
    write = context.ledger.raise_write(TEAM, 10, LIMIT)
    assert write.expected_version == context.delayed.expected_version
    context.ledger.write_succeeded(write, 3)
    assert context.ledger.free(TEAM) == 7


@given("a zone with 10 units of which an instance uses 6 and holds 8")
def zone_in_use(context):
    context.ledger, [context.account] = running_zone(["e1"])
    context.account.accept_grant(context.ledger.grant(TEAM, "e1", 8))
    for _ in range(6):
        context.account.start()


@when("the zone reduces its allowance to 3 units")
def reduce_allowance(context):
    context.notice = context.ledger.begin_reduction(TEAM, 3)
    assert context.ledger.grant(TEAM, "e1", 1) is None


@then("no write is possible before the acknowledgement")
def too_early(context):
    assert context.ledger.reduction_write(TEAM, LIMIT) is None
    context.account.accept_notice(context.notice)
    assert not context.account.may_start


@then("no write is possible until enough running tasks have ended")
def drains(context):
    report = context.account.report()
    sequence = context.notice.sequence
    context.ledger.acknowledge("e1", TEAM, sequence, report)
    for left in (5, 4, 3):
        assert context.ledger.reduction_write(TEAM, LIMIT) is None
        context.account.finish()
        assert context.account.holding == left
        context.ledger.record_report("e1", TEAM, context.account.report())


@then("the write lowers the zone's allowance and the limit to 3")
def limit_lowered(context):
    lowered = allowance_model.TeamLimit(3, 2)
    write = context.ledger.reduction_write(TEAM, lowered)
    assert (write.row.zones, write.row.limit) == ({"a": 3}, 3)
    context.ledger.write_succeeded(write, 2)
    assert context.ledger.allowance(TEAM) == 3


@given("a zone with 10 units and two entry instances")
def two_instances(context):
    context.ledger, context.accounts = running_zone(["e1", "e2"])


@then("each instance in turn can use all 10 units")
def all_units_in_turn(context):
    for holder, account in [*zip(["e1", "e2"], context.accounts, strict=True)]:
        assert account.accept_grant(context.ledger.grant(TEAM, holder, 20))
        for _ in range(10):
            account.start()
        assert not account.may_start
        for _ in range(10):
            account.finish()
        account.give_back(10)
        context.ledger.record_report(holder, TEAM, account.report())


def world_of_zone():
    """Returns a world, its zone with 6 units, and the zone's instances."""
    world = scheduling_escrow.World()
    zone = world.zones[0]
    return world, zone, [*zone.instances.values()]


@given("a paused instance that holds 6 unused units")
def paused_holder(context):
    context.world, zone, [holder, other] = world_of_zone()
    ledger = zone.coordinators[-1].ledger
    holder.account.accept_grant(ledger.grant(TEAM, holder.holder, 6))
    holder.paused = True
    context.zone, context.holder, context.other = zone, holder, other


@when("its workers are taken over and the coordinator removes it")
def removed(context):
    coordinator = context.zone.coordinators[-1]
    for worker in context.zone.workers:
        context.world.move(context.zone, context.other, worker)
    context.world.remove_holder(
        context.zone, coordinator, context.holder.holder
    )
    assert coordinator.ledger.free(TEAM) == 6


@then("it can start no task after it has acquired a worker again")
def starts_nothing(context):
    context.holder.paused = False
    worker = context.zone.workers[0]
    context.world.expire(worker)
    context.world.acquire(context.holder, worker, context.zone)
    assert worker.owner is context.holder
    assert not context.holder.account.may_start


@given("an instance whose 6 tasks are taken over after it joined a new term")
def moved_in_new_term(context):
    context.world, zone, [holder, other] = world_of_zone()
    context.world.use_all(zone, holder, zone.coordinators[-1])
    context.world.new_term(zone)
    context.world.join_term(zone, holder, zone.coordinators[-1])
    context.world.join_term(zone, other, zone.coordinators[-1])
    for worker in zone.workers:
        context.world.move(zone, other, worker)
    context.world.send_report(zone, holder)
    context.world.deliver_all(zone)
    context.world.try_complete(zone)
    context.zone = zone


@then("the new coordinator inherits 6 units and not 12")
def inherits_once(context):
    ledger = context.zone.coordinators[-1].ledger
    assert ledger.in_use(TEAM) == 12
    assert (ledger.complete, ledger.allowance(TEAM)) == (True, 6)


@given("an instance that reported, took over 3 tasks and reported again")
def two_reports(context):
    context.ledger, [account] = running_zone(["e1"])
    context.reports = [account.report()]
    account.adopt(3)
    context.reports.append(account.report())


@when("the first of its reports arrives last")
def late_report(context):
    for report in reversed(context.reports):
        context.ledger.record_report("e1", TEAM, report)


@then("the ledger still counts 3 tasks in use")
def still_counted(context):
    assert context.ledger.in_use(TEAM) == 3


@when("one of two instances acknowledges a reduction by 4 units")
def half_acknowledged(context):
    context.notice = context.ledger.begin_reduction(TEAM, 6)
    acknowledge(context, "e1", context.accounts[0])


def acknowledge(context, holder, account):
    assert account.accept_notice(context.notice)
    sequence = context.notice.sequence
    context.ledger.acknowledge(holder, TEAM, sequence, account.report())


@then(
    "the write for the 4 units is possible only after the other one acknowledged"
)
def both_acknowledged(context):
    assert context.ledger.reduction_write(TEAM, LIMIT) is None
    acknowledge(context, "e2", context.accounts[1])
    assert context.ledger.reduction_write(TEAM, LIMIT).row.zones == {"a": 6}


@given("two coordinators of a zone of which the second has written the row")
def two_coordinators(context):
    context.world, zone, _ = world_of_zone()
    context.world.new_term(zone)
    context.first, second = zone.coordinators
    assert context.first.ledger.free(TEAM) == 6
    context.world.confirm_allowance(zone, second, 6)
    assert context.world.row.terms["a"] == second.ledger.term


@when("the first coordinator reads the row again")
def reads_again(context):
    world = context.world
    context.first.ledger.record_row(TEAM, world.row, world.version)


@then("the first coordinator neither grants nor writes nor starts a reduction")
def first_stops(context):
    ledger = context.first.ledger
    holder = next(iter(ledger.holders))
    assert ledger.superseded
    assert ledger.grant(TEAM, holder, 1) is None
    assert ledger.raise_write(TEAM, 10, LIMIT) is None
    assert ledger.begin_reduction(TEAM, 2) is None
