"""Steps for the model check, which runs in a process of its own."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

from behave import then
from behave import when

# Ends a check that hangs; the result does not depend on its length.
_TIMEOUT_S = 400
_REPLAYS = pathlib.Path("tests/model/replays")


def _play(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "tests.model", *arguments],
        env={**os.environ, "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )


@when("{count:d} orders from the seed {seed:d} are played")
def play_orders(context, count, seed, *further):
    context.played = _play(
        "--orders",
        str(count),
        "--seed",
        str(seed),
        "--duration-s",
        "300",
        *further,
    )


@when("{count:d} deadly orders from the seed {seed:d} are played")
def play_deadly_orders(context, count, seed):
    play_orders(context, count, seed, "--deadly")


@when('the order "{name}" is played again')
def replay(context, name):
    order = (_REPLAYS / f"{name}.json").read_text()
    context.played = _play("--replay", order)


@then("no rule is broken")
def none_broken(context):
    played = context.played
    assert played.returncode == 0, played.stdout + played.stderr
    print(played.stdout)


@when("{count:d} orders from the seed {seed:d} are played and logged, twice")
def play_twice(context, count, seed):
    context.logs = [
        _play("--orders", str(count), "--seed", str(seed), "--log").stderr
        for _ in range(2)
    ]


@then("both logs are the same")
def same_logs(context):
    first, second = context.logs
    assert first.count("start_unanswered") > 1, first
    assert first == second


@when("at most {count:d} orders are played with a planted fault of {rule}")
def play_planted(context, count, rule):
    context.played = _play(
        "--orders", str(count), "--planted", rule, "--shrink", "0"
    )


@then("an order breaks {rule}")
def broken(context, rule):
    played = context.played
    assert played.returncode == 1, played.stdout + played.stderr
    assert f"{rule}: " in played.stdout, played.stdout
    print(played.stdout)
