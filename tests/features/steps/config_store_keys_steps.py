"""Steps for keys of callers."""

from __future__ import annotations

import asyncio
import json

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap import errors
from marigoldgap.config_store import keys
from marigoldgap.config_store import state as state_module
from tests.fixtures import config_world
from tests.fixtures import loops
from tests.fixtures import table_double

_MAX_TRIES = 100


def _verify(context, index, queue="status"):
    verifier = context.world.stores[index].verifier
    return verifier.verify(f"Bearer {context.granted.key}", queue)


def _refusal(call, *arguments):
    try:
        call(*arguments)
    except errors.MarigoldgapError as error:
        return error.code
    return "accepted"


@given('two instances with published rules and a key of team "{team}"')
def world_with_key(context, team):
    context.world = config_world.ConfigWorld(context)
    first, second = context.world.stores
    context.granted = context.world.run(first.publisher.grant_key(team, "ana"))
    context.world.run(second.poller.poll_once())


@then('the key is accepted for team "{team}" at both instances')
def key_accepted(context, team):
    assert [_verify(context, index) for index in (0, 1)] == [team, team]


@then("only a salted hash of the key is stored")
def only_hash_stored(context):
    secret = context.granted.key.partition(".")[2]
    assert secret not in json.dumps(context.world.double.rows)


@when("the key is withdrawn at the first instance")
def withdraw(context):
    store = context.world.stores[0]
    context.withdrawn = context.world.run(
        store.withdrawals.withdraw(context.granted.key_id, "ana")
    )


@then("the first instance refuses the key as withdrawn or unknown")
def first_refuses(context):
    assert _refusal(_verify, context, 0) == "key-invalid"


@then("the second instance refuses the key after one poll")
def second_refuses(context):
    context.world.run(context.world.stores[1].poller.poll_once())
    assert _refusal(_verify, context, 1) == "key-invalid"
    row = f"denied/{context.granted.key_id}"
    assert row in context.world.double.rows


class _DenialRecorder:

    def __init__(self):
        self.denied = []

    def keys_denied(self, key_ids):
        self.denied += key_ids

    def config_changed(self, versions):
        pass


@when("the table service stops and the key is withdrawn")
def withdraw_in_outage(context):
    context.recorder = _DenialRecorder()
    context.world.stores[0].state.subscribe(context.recorder)
    context.world.run(context.world.double.stop())
    withdraw(context)
    assert context.withdrawn.version is None


@then("listeners are notified of the withdrawal")
def listeners_notified(context):
    assert context.recorder.denied == [context.granted.key_id]


@then("the withdrawal is stored after the table service recovers")
def stored_after_recovery(context):
    store = context.world.stores[0]

    async def poll():
        await context.world.double.start()
        for _ in range(_MAX_TRIES):
            await store.poller.poll_once()
            if not store.withdrawals.unpublished:
                return
            await asyncio.sleep(0.1)

    context.world.run(poll())
    row = f"denied/{context.granted.key_id}"
    assert row in context.world.double.rows


@when("a third instance learns of the withdrawal before the grant")
def late_grant(context):
    state = state_module.ConfigState()
    state.deny([context.granted.key_id])
    state.adopt(context.world.stores[0].state.versions_since(0))
    settings = table_double.settings_for("127.0.0.1:9")
    context.third = keys.KeyVerifier(settings, state)


@then("the third instance refuses the key")
def third_refuses(context):
    header = f"Bearer {context.granted.key}"
    assert _refusal(context.third.verify, header, "status") == "key-invalid"


@then("no header except the correct one is accepted")
def malformed_refused(context):
    verifier = context.world.stores[0].verifier
    right = f"Bearer {context.granted.key}"

    @hypothesis.given(
        strategies.integers(0, len(right)),
        strategies.integers(0, len(right)),
        strategies.text(max_size=4),
    )
    def check(start, end, inserted):
        header = right[:start] + inserted + right[end:]
        hypothesis.assume(header.strip().lower() != right.lower())
        assert _refusal(verifier.verify, header, "status") == "key-invalid"

    check()


@then("a keyed queue refuses a missing key")
def missing_refused(context):
    verifier = context.world.stores[0].verifier
    assert _refusal(verifier.verify, None, "status") == "key-invalid"


@then('queue "{queue}" accepts work without a key for team "{team}"')
def open_queue(context, queue, team):
    assert context.world.stores[0].verifier.verify(None, queue) == team


@when("the keys are older than the limit of an instance")
def old_keys(context):
    context.now_ms = 0
    context.aged = state_module.ConfigState(lambda: context.now_ms)
    context.aged.adopt(context.world.stores[0].state.versions_since(0))
    context.aged.confirm()
    settings = table_double.settings_for("127.0.0.1:9", max_key_age_s=60)
    context.aged_verifier = keys.KeyVerifier(settings, context.aged)
    header = f"Bearer {context.granted.key}"
    assert (
        _refusal(context.aged_verifier.verify, header, "status") == "accepted"
    )
    context.now_ms = 60_001


@then('that instance refuses keyed work with "{code}"')
def old_keys_refused(context, code):
    header = f"Bearer {context.granted.key}"
    assert _refusal(context.aged_verifier.verify, header, "status") == code


@then('it accepts work for the open queue "{queue}"')
def open_despite_age(context, queue):
    assert context.aged_verifier.verify(None, queue) == "public"


@then("it accepts the key again after a confirmation")
def accepted_after_confirmation(context):
    context.aged.confirm()
    header = f"Bearer {context.granted.key}"
    assert context.aged_verifier.verify(header, "status") == "claims"


@when("an instance with a limit of the key age runs without being coordinator")
def run_not_coordinator(context):
    world = context.world
    fresh = world.store(world.platforms[1], max_key_age_s=60)
    fresh.state.adopt(world.stores[0].state.versions_since(0))

    async def run_until_confirmed():
        polling = asyncio.create_task(fresh.poller.run(lambda: False))
        await loops.until(lambda: fresh.state.confirmed_age_ms() is not None)
        polling.cancel()

    world.run(run_until_confirmed())
    context.aged_verifier = fresh.verifier


@then("that instance accepts the key")
def accepts_key(context):
    header = f"Bearer {context.granted.key}"
    assert context.aged_verifier.verify(header, "status") == "claims"
