"""Steps for seeded random cells."""

from __future__ import annotations

from unittest import mock

from behave import then
from behave import when

from marigoldgap import clock
from tests.fixtures import random_cell


@when("the random cells with the seeds {first:d} to {last:d} are played")
def play(context, first, last):
    context.cells = {}
    for seed in range(first, last + 1):
        cell = random_cell.RandomCell(seed)
        with mock.patch.object(clock, "now_s", lambda cell=cell: cell.now_s):
            cell.play()
        context.cells[seed] = cell


@then(
    "no step that could run waits for more than {seconds:d} s when all is calm"
)
def none_waits(context, seconds):
    found = [
        (seed, step.advice_name, round(waited_s, 1), step.wait_reason.value)
        for seed, cell in context.cells.items()
        for step, waited_s in cell.longest_waits.items()
        if waited_s > seconds
    ]
    assert not found, found
