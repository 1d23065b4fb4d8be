"""Orders of events that are played on a simulated cell."""

from __future__ import annotations

import itertools
import json
import random
from typing import NamedTuple

WORKERS = ("w0", "w1", "w2", "w3")
KINDS = ("a", "a", "b", "b")
INSTANCES = ("e0", "e1")
# Fewest and most events of an order.
_EVENT_COUNTS = (8, 30)
# Longest pause between two events; an order draws one.
_MAX_PAUSES_S = (0.2, 0.6, 1.5)
# Factors of the frequency of a kind of event; an order draws one for each kind.
# Some faults show only if other kinds of events are absent.
_FACTORS = (0.0, 0.3, 1.0, 3.0)
# Run times of tasks in milliseconds, the last one longer than a lease.
_RUN_TIMES_MS = (50, 500, 2_000, 9_000)
_FORMS = ("plain", "plain", "plain", "chain", "gang", "fills", "fail")
_DEADLY_FORMS = (*_FORMS, "crash")
_WAYS = ("reset", "both", "to", "from")
# Share of the events of a kind that concern the worker which an order draws.
_FOCUS_SHARE = 0.7
# Share of the crashes and cuts of a worker that happen as the next task starts
# there: the moments in which most depends on who knows what.
_AT_START_SHARE = 0.4
# Share of the crashes after which the next process is cut off at its first start.
_FOLLOWED_SHARE = 0.3
# Relative frequency of each kind of event.
_FREQUENCIES = {
    "submit": 10,
    "cancel": 4,
    "crash": 4,
    "cut_worker": 3,
    "cut_instance": 1,
    "heal": 2,
    "delay_writes": 3,
    "refuse_calls": 1,
    "end_instance": 1,
    "stop_instance": 1,
    "delay_starts": 1,
    "lose_answers": 1,
    "register_foreign": 0.3,
}


class Event(NamedTuple):
    """One event of an order.

    Attributes:
        pause_s: Time since the event before, in seconds.
        kind: Kind of the event, a method of the player.
        fields: Arguments of that method.
    """

    pause_s: float
    kind: str
    fields: dict


class Order(NamedTuple):
    """Events that are played one after another.

    Attributes:
        seed: Seed of the random numbers that the processes draw.
        cap: Upper limit of the workspace in thousandths of a core; 0 for none.
        events: The events.
    """

    seed: int
    cap: int
    events: tuple[Event, ...]


def create(seed, is_deadly=False):
    """Returns the order of a seed.

    Args:
        seed: The seed.
        is_deadly: Whether some tasks crash each worker that runs them.
    """
    draw = random.Random(f"order {seed}")
    focus = draw.choice(WORKERS)
    max_pause_s = draw.choice(_MAX_PAUSES_S)
    weights = [
        frequency * (draw.choice(_FACTORS) if kind != "submit" else 1.0)
        for kind, frequency in _FREQUENCIES.items()
    ]
    events = []
    job_count = 0
    for _ in range(draw.randint(*_EVENT_COUNTS)):
        (kind,) = draw.choices(list(_FREQUENCIES), weights=weights)
        forms = _DEADLY_FORMS if is_deadly else _FORMS
        fields = _draw_fields(draw, kind, focus, job_count, forms)
        if (
            events
            and events[-1].kind == "crash"
            and draw.random() < _FOLLOWED_SHARE
        ):
            kind, fields = "cut_worker", _cut_after(events[-1], draw)
        job_count += kind == "submit"
        pause_s = round(draw.uniform(0.0, max_pause_s), 3)
        events.append(Event(pause_s, kind, fields))
    return Order(seed, draw.choice((0, 0, 5_000)), tuple(events))


def _cut_after(crash, draw):
    """Returns a cut of the next process as soon as a task has started there."""
    return {
        "worker": crash.fields["worker"],
        "way": draw.choice(_WAYS),
        "at_start": True,
    }


def _draw_fields(draw, kind, focus, job_count, forms):
    worker = focus if draw.random() < _FOCUS_SHARE else draw.choice(WORKERS)
    instance = draw.choice(INSTANCES)
    if kind == "submit":
        return {
            "number": job_count,
            "instance": instance,
            "milliseconds": draw.choice(_RUN_TIMES_MS),
            "tasks": draw.choice((1, 1, 2, 4)),
            "label": draw.choice(("", "a", "b")),
            "form": draw.choice(forms),
        }
    if kind == "cancel":
        latest = max(0, job_count - 1)
        number = latest if draw.random() < 0.6 else draw.randint(0, latest)
        return {"number": number, "instance": instance}
    if kind == "crash":
        return {
            "worker": worker,
            "connections": draw.choice(("closed", "reset", "silenced")),
            "restart_s": draw.choice((0.2, 1.0, 1.3, 3.0)),
            "kind": draw.choice(("a", "b")),
            "at_start": draw.random() < _AT_START_SHARE,
        }
    if kind == "cut_worker":
        return {
            "worker": worker,
            "way": draw.choice(_WAYS),
            "at_start": draw.random() < _AT_START_SHARE,
        }
    if kind == "cut_instance":
        return {"instance": instance, "way": draw.choice(_WAYS)}
    if kind in ("end_instance", "stop_instance"):
        return {"instance": instance}
    if kind == "delay_writes":
        return {
            "count": draw.randint(1, 5),
            "delay_s": draw.choice((1.0, 3.0, 6.0)),
        }
    if kind == "refuse_calls":
        return {"duration_s": draw.choice((0.5, 1.5, 4.0))}
    if kind == "delay_starts":
        return {"worker": worker, "delay_s": draw.choice((0.5, 2.0))}
    if kind == "lose_answers":
        return {"worker": worker, "count": draw.randint(1, 2)}
    return {}


def pairs(order):
    """Returns the kinds of events that follow one another in an order."""
    kinds = [event.kind for event in order.events]
    return set(itertools.pairwise(kinds))


def pair_count():
    """Returns the number of pairs that there are."""
    return len(_FREQUENCIES) ** 2


def encode(order):
    """Returns an order as a text from which it can be played again."""
    return json.dumps(order, separators=(",", ":"))


def decode(text):
    """Returns the order of a text."""
    seed, cap, events = json.loads(text)
    return Order(seed, cap, tuple(Event(*event) for event in events))


def shrink(order, fails, attempts):
    """Returns an order with fewer events that still fails.

    Args:
        order: An order that fails.
        fails: Returns whether an order fails.
        attempts: Most orders that are played.
    """
    size = max(1, len(order.events) // 2)
    while True:
        start = 0
        while start < len(order.events) and attempts:
            attempts -= 1
            rest = order.events[:start] + order.events[start + size :]
            shorter = order._replace(events=rest)
            if fails(shorter):
                order = shorter
            else:
                start += size
        if size == 1 or not attempts:
            return order
        size = max(1, size // 2)
