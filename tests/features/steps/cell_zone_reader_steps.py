"""Steps for the instance of a zone that reads the configuration for others."""

from __future__ import annotations

import asyncio
import base64
import json
import zlib

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import configuration_relay
from marigoldgap.cell import reader_choice
from tests.fixtures import configuration_link
from tests.fixtures import loops

_NOW = 100.0
_APPLY_S = 4.0
# Time that 1,400 queues take on a link of 10 Mbit/s.
_TRANSFER_S = 0.31
_OWN_NAME = "e1"
_FIELDS = {
    "store_version": 7,
    "confirmed_after_s": -0.1,
    "version": 3,
    "evacuations": [["evacuate/a", "a"]],
}


def _packed(content):
    return base64.b64encode(zlib.compress(content)).decode()


_CONTENTS = {
    "no JSON": b"<html>",
    "a list": b"[]",
    "a missing version": json.dumps({**_FIELDS, "version": None}).encode(),
    "a version that is a text": json.dumps(
        {**_FIELDS, "version": "three"}
    ).encode(),
    "an infinite time": json.dumps(
        {**_FIELDS, "confirmed_after_s": float("inf")}
    ).encode(),
    "evacuations of one field": json.dumps(
        {**_FIELDS, "evacuations": [["a"]]}
    ).encode(),
    "content that is no Base64": json.dumps(
        {**_FIELDS, "content": "%"}
    ).encode(),
    "content cut short": json.dumps(
        {**_FIELDS, "content": _packed(b"x" * 99)[:-8]}
    ).encode(),
    "content of 20 MB": json.dumps(
        {**_FIELDS, "content": _packed(bytes(20_000_000))}
    ).encode(),
}


@given("{count:d} instances of a zone behind a link of {rate:d} Mbit/s")
def start_zone(context, count, rate):
    context.followed = configuration_link.ConfigurationLink(count, rate, "a")
    loops.run(context, context.followed.start())
    context.add_cleanup(context.followed.stop)
    loops.run(context, loops.until(lambda: _has_reader(context)))


def _has_reader(context):
    names = {reader.choice.reader for reader in context.followed.readers}
    return len(names) == 1 and "" not in names


@when("the reader {fails} in the middle of the transfer")
def fail_reader(context, fails):
    followed = context.followed
    loops.run(context, asyncio.sleep(_TRANSFER_S / 2))
    assert followed.followers[followed.reader()].version < context.version
    context.failed_reader = followed.reader()
    if fails == "ends":
        followed.end(context.failed_reader)
    elif fails == "answers nothing":
        loops.run(context, followed.silence(context.failed_reader))
    else:
        followed.cut_off(context.failed_reader)


@when("the operator adds {queues:d} queues {times:d} times in {span:d} ms")
def add_queues_often(context, queues, times, span):
    for number in range(times):
        loops.run(context, asyncio.sleep(span / times / 1000))
        context.version = 2 + number
        context.queues = queues + number
        context.execute_steps(f"When version {context.version} is written")


@then(
    "the change is in force in each other instance within {milliseconds:d} ms"
)
def in_force_elsewhere(context, milliseconds):
    followed = context.followed
    del followed.followers[context.failed_reader]
    del followed.adopted_s[context.failed_reader]
    context.execute_steps(
        f"Then the change is in force in each instance within {milliseconds} ms"
    )


@then("another instance is the reader")
def other_reader(context):
    followed = context.followed
    others = [
        reader
        for number, reader in enumerate(followed.readers)
        if number != context.failed_reader
    ]
    loops.run(
        context,
        loops.until(
            lambda: {reader.choice.reader for reader in others}
            not in ({f"e{context.failed_reader}"}, {""})
            and len({reader.choice.reader for reader in others}) == 1
        ),
    )


@then("the link has carried less than {copies:d} copies for the zone")
def carried_for_zone(context, copies):
    carried = context.followed.link.received_bytes - context.bytes_before
    assert carried < copies * context.copy_bytes, (carried, context.copy_bytes)


@given("a reader that is {state}")
def reader_in_state(context, state):
    context.choice = reader_choice.ReaderChoice(_OWN_NAME, _APPLY_S)
    if state == "itself":
        context.choice.on_found(_OWN_NAME, _NOW)
    elif state != "unknown":
        context.choice.on_found("e2", _NOW)
    if state == "failed":
        context.choice.on_failed(_NOW)


@when("an instance of the zone {role}")
def choose_source(context, role):
    context.source = context.choice.source(role == "leads")


@when("its answer leaves the configuration {age:g} s old")
def examine_answer(context, age):
    context.is_helpful = context.choice.is_helpful(age)


@then("the reader is {outcome}")
def reader_outcome(context, outcome):
    assert context.is_helpful == (outcome == "kept"), context.is_helpful


@then("the configuration is requested from the {source}")
def requested_from(context, source):
    assert context.source.name == source.upper(), context.source


@then("it may be used again after {seconds:d} s, not before")
def used_again(context, seconds):
    assert not context.choice.may_use("e2", _NOW + seconds - 0.1)
    assert context.choice.may_use("e2", _NOW + seconds)
    assert context.choice.should_search(_NOW)


@when("a reader answers with {content}")
def answer_with(context, content):
    context.body = _CONTENTS[content]


@then("the answer is rejected")
def rejected(context):
    try:
        found = configuration_relay.decode(context.body)
    except configuration_relay.RelayError:
        return
    raise AssertionError(found)
