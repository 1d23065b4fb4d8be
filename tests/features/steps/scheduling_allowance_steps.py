"""Steps for the escrow of team limits."""

from __future__ import annotations

from behave import then
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model
from tests.fixtures import scheduling_escrow

TEAM = scheduling_escrow.TEAM
TERM = model.Term(1, "a")
LIMIT = allowance_model.TeamLimit(10, 1)

zones = strategies.integers(0, 1)
numbers = strategies.integers(0, 1)
indexes = strategies.integers(0, 7)


class EscrowMachine(stateful.RuleBasedStateMachine):

    def __init__(self):
        super().__init__()
        self.world = scheduling_escrow.World()

    @stateful.initialize(both=strategies.booleans())
    def begin(self, both):
        self.world.begin(self.world.zones[0], 10)
        if both:
            self.world.begin(self.world.zones[1], 0)

    def pick(self, zone, number):
        zone = self.world.zones[zone]
        return zone, zone.instances[f"{zone.name}{number}"]

    def coordinator(self, zone, age):
        coordinators = self.world.zones[zone].coordinators
        return coordinators[max(0, len(coordinators) - 1 - age)]

    @stateful.rule(zone=zones)
    def new_term(self, zone):
        self.world.new_term(self.world.zones[zone])

    @stateful.rule(zone=zones, number=numbers, age=numbers)
    def obey(self, zone, number, age):
        place, instance = self.pick(zone, number)
        if not instance.paused:
            self.world.obey_term(place, instance, self.coordinator(zone, age))

    @stateful.rule(zone=zones, number=numbers)
    def report(self, zone, number):
        place, instance = self.pick(zone, number)
        if not instance.paused:
            self.world.send_report(place, instance)

    @stateful.rule(zone=zones)
    def complete(self, zone):
        self.world.try_complete(self.world.zones[zone])

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(index=indexes, repeat=strategies.booleans())
    def deliver(self, index, repeat):
        self.world.deliver(index, repeat)

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(index=indexes)
    def lose_message(self, index):
        messages = self.world.messages
        messages.pop(index % len(messages))

    @stateful.rule(zone=zones, number=numbers, worker=numbers)
    def acquire(self, zone, number, worker):
        place, instance = self.pick(zone, number)
        if not instance.paused:
            self.world.acquire(instance, place.workers[worker], place)

    @stateful.rule(zone=zones, number=numbers, worker=numbers, count=indexes)
    def start(self, zone, number, worker, count):
        place, instance = self.pick(zone, number)
        if not instance.paused:
            for _ in range(count):
                self.world.start(instance, place.workers[worker])

    @stateful.rule(zone=zones, number=numbers, worker=numbers)
    def finish(self, zone, number, worker):
        place, instance = self.pick(zone, number)
        if not instance.paused:
            self.world.finish(instance, place.workers[worker])

    @stateful.rule(zone=zones, worker=numbers)
    def expire(self, zone, worker):
        self.world.expire(self.world.zones[zone].workers[worker])

    @stateful.rule(zone=zones, worker=numbers)
    def lapse(self, zone, worker):
        self.world.lapse(self.world.zones[zone].workers[worker])

    @stateful.rule(zone=zones, number=numbers, paused=strategies.booleans())
    def pause(self, zone, number, paused):
        self.pick(zone, number)[1].paused = paused

    @stateful.rule(zone=zones, number=numbers)
    def restart(self, zone, number):
        place, _ = self.pick(zone, number)
        self.world.restart(place, f"{place.name}{number}")

    @stateful.rule(zone=zones, number=numbers)
    def settle(self, zone, number):
        self.world.settle(*self.pick(zone, number))

    @stateful.rule(zone=zones, age=numbers, index=indexes)
    def retire(self, zone, age, index):
        coordinator = self.coordinator(zone, age)
        holders = sorted(coordinator.ledger.holders)
        if holders:
            holder = holders[index % len(holders)]
            self.world.retire(self.world.zones[zone], coordinator, holder)

    @stateful.rule(zone=zones, number=numbers, age=numbers, units=indexes)
    def grant(self, zone, number, age, units):
        place, instance = self.pick(zone, number)
        ledger = self.coordinator(zone, age).ledger
        grant = ledger.grant(TEAM, instance.holder, units)
        if grant is not None:
            self.world.messages.append((place, "grant", instance, grant))

    @stateful.rule(zone=zones, number=numbers, units=indexes)
    def give_back(self, zone, number, units):
        place, instance = self.pick(zone, number)
        if not instance.paused:
            instance.account.give_back(units)
            self.world.send_report(place, instance)

    @stateful.rule(zone=zones, age=numbers)
    def read_row(self, zone, age):
        ledger = self.coordinator(zone, age).ledger
        ledger.row_read(TEAM, self.world.row, self.world.version)

    @stateful.rule(zone=zones, age=numbers, wanted=strategies.integers(0, 12))
    def raise_number(self, zone, age, wanted):
        coordinator = self.coordinator(zone, age)
        self.world.raise_number(self.world.zones[zone], coordinator, wanted)

    @stateful.rule(zone=zones, age=numbers, number=strategies.integers(0, 6))
    def begin_give_up(self, zone, age, number):
        place = self.world.zones[zone]
        ledger = self.coordinator(zone, age).ledger
        notice = ledger.begin_give_up(TEAM, number)
        if notice is not None:
            for instance in place.instances.values():
                self.world.messages.append((place, "notice", instance, notice))

    @stateful.rule(zone=zones, age=numbers)
    def write_give_up(self, zone, age):
        place = self.world.zones[zone]
        self.world.write_give_up(place, self.coordinator(zone, age))

    @stateful.rule(zone=zones)
    def settle_down(self, zone):
        self.world.settle_down(self.world.zones[zone])

    @stateful.rule(zone=zones)
    def deliver_all(self, zone):
        self.world.deliver_all(self.world.zones[zone])

    @stateful.rule(zone=zones, age=numbers, wanted=strategies.integers(0, 12))
    def fence(self, zone, age, wanted):
        place = self.world.zones[zone]
        self.world.fence(place, self.coordinator(zone, age), wanted)

    @stateful.rule(zone=zones, number=numbers, age=numbers)
    def use_all(self, zone, number, age):
        place, instance = self.pick(zone, number)
        if not instance.paused:
            coordinator = self.coordinator(zone, age)
            self.world.use_all(place, instance, coordinator)

    @stateful.rule(zone=zones, age=numbers, number=strategies.integers(0, 6))
    def give_up(self, zone, age, number):
        place = self.world.zones[zone]
        self.world.give_up(place, self.coordinator(zone, age), number)

    @stateful.precondition(lambda self: self.world.writes)
    @stateful.rule(index=indexes)
    def land_write(self, index):
        self.world.land_write(index)

    @stateful.precondition(lambda self: self.world.writes)
    @stateful.rule(index=indexes, lost=strategies.booleans())
    def answer_write(self, index, lost):
        self.world.answer_write(index, lost)

    @stateful.rule(zone=zones, limit=strategies.integers(0, 10))
    def change_limit(self, zone, limit):
        place = self.world.zones[zone]
        newest = max(
            (other.limit for other in self.world.zones),
            key=lambda known: known.version,
        )
        if place.limit.version == newest.version:
            newest = allowance_model.TeamLimit(limit, newest.version + 1)
        place.limit = newest

    @stateful.invariant()
    def never_above_limit(self):
        row = self.world.row
        limit = row.limit if row else 0
        assert self.world.possible_starts() <= limit
        assert row is None or row.total <= row.limit


@then("the possible starts never exceed the limit under any faults")
def run_escrow_machine(context):
    stateful.run_state_machine_as_test(
        EscrowMachine,
        settings=hypothesis.settings(max_examples=300, stateful_step_count=50),
    )
