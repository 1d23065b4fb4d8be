"""Steps for events and the timeline."""

from __future__ import annotations

import json

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap.events import export
from marigoldgap.events import hybrid_clock
from marigoldgap.events import ring
from marigoldgap.events import timeline
from marigoldgap.events import types
from tests.fixtures import table_double


def _ring(size=1_000, wall_ms=lambda: 1_000_000, instance_id="entry-1"):
    settings = table_double.settings_for(
        "127.0.0.1:9", event_ring_size=size, instance_id=instance_id
    )
    return ring.EventRing(settings, hybrid_clock.HybridClock(wall_ms))


@then("a received message is always stamped after its sending")
def causal_order(context):
    times = strategies.integers(0, 50_000)

    @hypothesis.given(strategies.lists(strategies.tuples(times, times)))
    def check(pairs):
        wall_times = [0, 0]
        clocks = [
            hybrid_clock.HybridClock(lambda index=index: wall_times[index])
            for index in (0, 1)
        ]
        for sender, wall in enumerate(pairs):
            wall_times[:] = wall
            sent = clocks[sender % 2].now()
            clocks[1 - sender % 2].observe(sent)
            assert clocks[1 - sender % 2].now() > sent

    check()


@then("times of one instance always increase")
def times_increase(context):
    @hypothesis.given(strategies.lists(strategies.integers(0, 10)))
    def check(wall_times):
        wall = [0]
        clock = hybrid_clock.HybridClock(lambda: wall[0])
        last = -1
        for wall[0] in wall_times:
            now = clock.now()
            assert now > last
            last = now

    check()


@given("an instance whose clock shows {wall_ms:d} ms")
def clock_at(context, wall_ms):
    context.hybrid_clock = hybrid_clock.HybridClock(lambda: wall_ms)


@when("it receives a time that is an hour ahead")
def receive_time_far_ahead(context):
    ahead = hybrid_clock.from_ms(1_000_000 + 3_600_000)
    context.hybrid_clock.observe(ahead)


@then("its next time is still at {wall_ms:d} ms")
def next_time_is_at(context, wall_ms):
    assert hybrid_clock.to_ms(context.hybrid_clock.now()) == wall_ms


@given("an event ring of {size:d} events")
def event_ring(context, size):
    context.event_ring = _ring(size)


@when("{count:d} requests are accepted")
def accept_requests(context, count):
    for number in range(count):
        event = types.RequestAccepted(f"t{number}", "claims", "status")
        context.event_ring.record(event)


@then("the ring has the latest {kept:d} events and dropped {dropped:d}")
def ring_bounded(context, kept, dropped):
    events = context.event_ring.events()
    assert [each.sequence for each in events] == list(
        range(dropped + 1, dropped + kept + 1)
    )
    assert context.event_ring.dropped == dropped


@when('task "j1.0" of job "centro-a.j1" starts on worker "w1"')
def start_job_task(context):
    context.event_ring.record(
        types.TaskStarted("centro-a.j1.0", "w1", "claims", "centro-a.j1", 0, 1)
    )


@when("a task of another job starts")
def start_other_task(context):
    context.event_ring.record(
        types.TaskStarted("centro-a.j10.0", "w2", "x", "centro-a.j10", 0, 1)
    )


@then('the ids "{first}", "{second}" and "{third}" each find {count:d} event')
def found_by_id(context, first, second, third, count):
    for subject in (first, second, third):
        assert len(context.event_ring.events(subject)) == count, subject


@then("merging any overlapping parts gives all events once in causal order")
def merge_overlapping(context):
    rings = [_ring(instance_id=f"entry-{number}") for number in (1, 2)]
    for number in range(10):
        event = types.RequestAccepted(f"t{number}", "claims", "status")
        rings[number % 2].record(event)
    everything = [event for each in rings for event in each.events()]
    parts = strategies.lists(
        strategies.lists(strategies.sampled_from(everything)), max_size=4
    )

    @hypothesis.given(parts)
    def check(overlapping):
        merged = timeline.merge([everything, *overlapping])
        assert len(merged) == len(everything)
        assert merged == sorted(merged, key=lambda event: event[:3])

    check()


@given("the events of a task that starts on one instance and ends on another")
def two_instances_events(context):
    first, second = _ring(instance_id="e1"), _ring(instance_id="e2")
    first.record(types.TaskStarted("t 1", "w1", "claims", "", 0, 7))
    second._clock.observe(first.events()[0].at)
    second.record(types.TaskEnded("t 1", "w1", "", "finished"))
    context.merged = timeline.merge([second.events(), first.events()])


@when('the timeline is exported as "{name}"')
def export_timeline(context, name):
    context.exported = export.export(context.merged, name)


@then('the export is valid "{name}" with both events in order')
def valid_export(context, name):
    if name == "text":
        lines = context.exported.splitlines()
        assert lines[0].startswith("1970-01-01T00:16:40.000Z/0 e1 task-started")
        assert 'task_id="t 1"' in lines[1] and "e2 task-ended" in lines[1]
    elif name == "jsonl":
        names = [
            json.loads(line)["name"]
            for line in context.exported.split("\n")[:2]
        ]
        assert names == ["task-started", "task-ended"]
    else:
        records = json.loads(context.exported)["traceEvents"]
        spans = [each for each in records if each["ph"] in "be"]
        assert [each["ph"] for each in spans] == ["b", "e"]
        assert {(each["cat"], each["id"]) for each in spans} == {
            ("task", "t 1")
        }
        assert spans[0]["ts"] < spans[1]["ts"]
