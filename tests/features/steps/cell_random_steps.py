"""Steps for seeded random cells."""

from __future__ import annotations

from unittest import mock

from behave import then
from behave import when

from marigoldgap import clock
from tests.fixtures import random_cell
from tests.fixtures import random_crashing_cell
from tests.fixtures import random_limited_cell


@when("the random cells with the seeds {first:d} to {last:d} are played")
def play(context, first, last):
    _play(context, random_cell.RandomCell, first, last)


@when(
    "the random cells with crashing tasks and the seeds {first:d} to {last:d}"
    " are played"
)
def play_crashing(context, first, last):
    _play(context, random_crashing_cell.RandomCrashingCell, first, last)


@when(
    "the random cells with changing limits and the seeds {first:d} to {last:d}"
    " are played"
)
def play_limited(context, first, last):
    _play(context, random_limited_cell.RandomLimitedCell, first, last)


def _play(context, cell_type, first, last):
    context.cells = {}
    for seed in range(first, last + 1):
        cell = cell_type(seed)
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


@then(
    "no long-running task waits for more than {seconds:d} s after its latest"
    " run"
)
def restarted(context, seconds):
    longest_s = seconds - random_crashing_cell.RESTART_S
    found = [
        (seed, step.advice_name, position, round(waited_s, 1))
        for seed, cell in context.cells.items()
        for (step, position), waited_s in cell.longest_restarts.items()
        if waited_s > longest_s
    ]
    assert not found, found


@then("no start exceeds the limit of its workspace")
def no_excess(context):
    found = {
        seed: cell.excesses
        for seed, cell in context.cells.items()
        if cell.excesses
    }
    assert not found, found
