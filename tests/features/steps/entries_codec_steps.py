"""Steps for the codec of peer messages."""

from __future__ import annotations

import asyncio

from behave import then
import hypothesis
from hypothesis import strategies

from marigoldgap import errors
from marigoldgap.entries import codec
from marigoldgap.entries import framing
from tests.fixtures import message_strategies


def _decode_or_refuse(data):
    try:
        return codec.decode(data)
    except errors.ProtocolError:
        return None


@then("every peer message decodes to what was encoded")
def round_trip(context):
    @hypothesis.settings(max_examples=400)
    @hypothesis.given(
        message_strategies.any_message(), strategies.integers(0, 2**64 - 1)
    )
    def check(message, number):
        envelope = codec.Envelope(message, number, number, bool(number % 2))
        assert codec.decode(codec.encode(envelope)) == envelope

    check()


@then("random peer bytes decode to a message or a protocol error")
def fuzz_random(context):
    @hypothesis.settings(max_examples=500)
    @hypothesis.given(strategies.binary(max_size=200))
    def check(data):
        _decode_or_refuse(data)

    check()


@then("a damaged peer message decodes to a message or a protocol error")
def fuzz_damaged(context):
    @hypothesis.settings(max_examples=500)
    @hypothesis.given(
        message_strategies.any_message(),
        strategies.integers(0, 10_000),
        strategies.binary(max_size=4),
    )
    def check(message, position, damage):
        data = bytearray(codec.encode(codec.Envelope(message)))
        start = position % len(data)
        data[start : start + len(damage)] = damage
        _decode_or_refuse(bytes(data))
        _decode_or_refuse(bytes(data[:start]))

    check()


@then("a packed peer frame of zero runs is refused")
def refuse_expansion(context):
    run_of_256_words = b"\x00\xff"
    segment_table = b"\x7f\x00\xff\xff\xff\xff\xff\xff\xff"
    data = segment_table + run_of_256_words * 100_000
    assert _decode_or_refuse(data) is None


@then("a peer frame longer than its limit is refused")
def refuse_long_frame(context):
    async def read():
        reader = asyncio.StreamReader()
        reader.feed_data(framing.frame(b"x" * 11))
        return await framing.read_frame(reader, 10)

    try:
        asyncio.run(read())
    except errors.ProtocolError:
        return
    raise AssertionError("the frame was accepted")
