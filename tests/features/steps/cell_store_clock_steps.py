"""Steps for the clock of the store."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import store_clock


@given(
    "a call that was sent at {sent:f} s, answered at {received:f} s and stated"
    " {store_ms:d} ms"
)
def first_call(context, sent, received, store_ms):
    context.store_clock = store_clock.StoreClock()
    context.store_clock.answered_s(sent, received, store_ms)


@when(
    "a call was sent at {sent:f} s, answered at {received:f} s and stated"
    " {store_ms:d} ms"
)
def second_call(context, sent, received, store_ms):
    context.answered_s = context.store_clock.answered_s(
        sent, received, store_ms
    )


@then("the store answered at {earliest:f} s or later, and by {latest:f} s")
def answered(context, earliest, latest):
    assert (
        earliest - 1e-9 <= context.answered_s <= latest + 1e-9
    ), context.answered_s
