"""Steps for the escrow of team limits."""

from __future__ import annotations

import random

from behave import then
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from marigoldgap.scheduling import allowance_model
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


@then("the possible starts never exceed the limit under any faults")
def run_escrow_machine(context):
    stateful.run_state_machine_as_test(
        EscrowMachine,
        settings=hypothesis.settings(
            max_examples=100, stateful_step_count=STEPS
        ),
    )


@then("the possible starts never exceed the limit on long random walks")
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
