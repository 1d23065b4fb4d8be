"""Plays random orders, or one again: `python -m tests.model --help`."""

from __future__ import annotations

import argparse
from concurrent import futures
import functools
import itertools
import logging
import os
import sys
import time

from tests.model import orders
from tests.model import planted
from tests.model import player


def main():
    """Plays orders until the time is over; fails if one breaks a rule."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--orders", type=int, default=0, help="0: no limit")
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument("--shrink", type=int, default=100, help="attempts")
    parser.add_argument("--replay", default="", help="an order as it was shown")
    parser.add_argument("--planted", default="", choices=["", *planted.NAMES])
    parser.add_argument(
        "--deadly", action="store_true", help="with tasks that crash workers"
    )
    parser.add_argument("--log", action="store_true")
    arguments = parser.parse_args()
    if os.environ.get("PYTHONHASHSEED") != "0":
        # The order of sets would differ from one process to the next.
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        os.execve(
            sys.executable,
            [sys.executable, "-m", "tests.model", *sys.argv[1:]],
            environment,
        )
    logging.disable(logging.NOTSET if arguments.log else logging.CRITICAL)
    if arguments.replay:
        with planted.planted(arguments.planted):
            violations = player.play(orders.decode(arguments.replay))
        print(*violations, sep="\n")
        sys.exit(bool(violations))
    sys.exit(_play_many(arguments))


def _play_many(arguments):
    started_s = time.monotonic()
    until_s = started_s + arguments.duration_s
    played = 0
    failed = 0
    pairs = set()
    with futures.ProcessPoolExecutor(arguments.processes) as pool:
        seeds = itertools.count(arguments.seed)
        if arguments.orders:
            seeds = itertools.islice(seeds, arguments.orders)
        while time.monotonic() < until_s:
            batch = list(itertools.islice(seeds, 4 * arguments.processes))
            if not batch:
                break
            play = functools.partial(
                _play_seed, arguments.planted, arguments.deadly
            )
            for seed, violations in pool.map(play, batch):
                order = orders.create(seed, arguments.deadly)
                pairs |= orders.pairs(order)
                played += 1
                if violations:
                    failed += 1
                    _show(order, violations, arguments)
                if arguments.planted and any(
                    each.startswith(arguments.planted) for each in violations
                ):
                    seeds = iter(())
                    break
    took_s = time.monotonic() - started_s
    print(
        f"{played} orders in {took_s:.1f} s, {played / took_s:.2f} a second;"
        f" {len(pairs)} of {orders.pair_count()} pairs of kinds;"
        f" {failed} with a rule broken"
    )
    return bool(failed)


def _play_seed(fault, is_deadly, seed):
    with planted.planted(fault):
        return seed, player.play(orders.create(seed, is_deadly))


def _show(order, violations, arguments):
    print(f"seed {order.seed}:", *violations, sep="\n  ")
    # Late jobs come first, other rules after them.
    rule = _rule(violations[-1])
    with planted.planted(arguments.planted):
        shorter = orders.shrink(
            order,
            lambda each: rule in map(_rule, player.play(each)),
            arguments.shrink,
        )
    print(f"  {len(shorter.events)} events are enough for: {rule}")
    for event in shorter.events:
        print(f"  {event.pause_s:.3f} {event.kind} {event.fields}")
    print(f"  --replay '{orders.encode(shorter)}'", flush=True)


def _rule(violation):
    """Returns what a violation says, without identifiers and numbers."""
    return " ".join(
        word for word in violation.split() if word.isalpha() or ":" in word
    )


if __name__ == "__main__":
    main()
