"""Steps for the registration of instances."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap import json_object
from marigoldgap.cell import records
from marigoldgap.cell import store
from marigoldgap.node import instance_registry
from tests.fixtures import loops

_NAME = "e1"
_ROW_KEY = store.RowKey(records.INSTANCES, "", _NAME)
_FORMER = "127.0.0.1:1"
_NEXT = "127.0.0.1:2"


class _Store:
    """Store that may perform transactions late and without an answer.

    Attributes:
        unanswered: Number of the next transactions that get no answer.
        held: Transactions that have not been performed yet.
        call_count: Number of the calls.
    """

    def __init__(self):
        self.unanswered = 0
        self.held = []
        self.call_count = 0
        self._rows = {}
        self._version = 0

    async def transact(self, transaction):
        self.call_count += 1
        if self.unanswered:
            self.unanswered -= 1
            self.held.append(transaction)
            raise store.StoreUnknownError("no answer")
        return self.perform(transaction)

    def perform(self, transaction):
        if any(
            self.row(check.row_key).version != check.version
            for check in transaction.checks
        ):
            found = [self.row(check.row_key) for check in transaction.checks]
            raise store.CheckFailedError(
                tuple(row for row in found if row.version)
            )
        self._version += 1
        for row_key, content in transaction.writes:
            self._rows[row_key] = store.Row(row_key, content, self._version)
        return self._version

    def row(self, row_key):
        return self._rows.get(row_key, store.Row(row_key, None, 0))


def _perform_held(context):
    for transaction in context.store.held:
        try:
            context.store.perform(transaction)
        except store.CheckFailedError:
            pass
    context.store.held.clear()


async def _register(context, address, name=_NAME):
    async with asyncio.timeout(5.0):
        await instance_registry.register(context.store, name, address)


@given("an instance whose process registers and gets no answer")
def register_unanswered(context):
    context.store = _Store()
    context.store.unanswered = 1

    async def register():
        context.registering = asyncio.create_task(_register(context, _FORMER))
        await loops.until(lambda: context.store.held)

    loops.run(context, register())


@when(
    "its next process, at another address, registers and gets {answer:w} answer"
)
def register_next(context, answer):
    context.registering.cancel()
    context.is_answered = answer == "an"


@when("the write of the former process takes effect {moment}")
def take_effect(context, moment):
    former = list(context.store.held)
    context.store.held.clear()

    async def register():
        if moment == "before it":
            context.store.held = former
            _perform_held(context)
        context.store.unanswered = 0 if context.is_answered else 1
        await _register(context, _NEXT)
        context.store.held += former
        _perform_held(context)

    loops.run(context, register())


@then("the row of the instance has the address of the next process")
def next_address(context):
    content = context.store.row(_ROW_KEY).value
    assert content == json_object.encode({"address": _NEXT}), content


@when("the write of the process takes effect")
def own_takes_effect(context):
    _perform_held(context)


@then("the process is registered after one more call")
def registered(context):
    loops.run(context, context.registering)
    assert context.store.call_count == 2, context.store.call_count


@given("two instances that have registered one after the other")
def register_two(context):
    context.store = _Store()

    async def register():
        await _register(context, _FORMER)
        await _register(context, _NEXT, "e2")

    loops.run(context, register())


@when("the first one registers again at the same address")
def register_again(context):
    loops.run(context, _register(context, _FORMER))


@then("its row is the latest one")
def latest(context):
    other = store.RowKey(records.INSTANCES, "", "e2")
    first = context.store.row(_ROW_KEY).version
    assert first > context.store.row(other).version
