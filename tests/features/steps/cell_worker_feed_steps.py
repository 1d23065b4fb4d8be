"""Steps for the feed of worker registrations, without a store."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import feeds
from marigoldgap.cell import store
from marigoldgap.platform import documents
from tests.fixtures import loops

_TABLE = "servers"


def _row(worker_id, seq):
    """Returns a row as a worker writes it with each heartbeat."""
    fields = {
        "service": "claims",
        "address": "127.0.0.1:1",
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 1000},
        "labels": ["a", "r1"],
        "clockMs": 1500 * seq,
        "seq": seq,
    }
    return store.Row(
        store.RowKey(_TABLE, "", worker_id), json.dumps(fields).encode(), seq
    )


class _Rows:
    """Returns the pages in order, then waits for ever."""

    def __init__(self, pages):
        self.pages = pages
        self.read = 0

    async def changes(self, table, after, wait_ms):
        if self.read == len(self.pages):
            await asyncio.Event().wait()
        page = store.Page(tuple(self.pages[self.read]), False, self.read + 1)
        self.read += 1
        # The calls of a real store take time, too.
        await asyncio.sleep(0.005)
        return page


class _Reader:

    async def read(self, table, partition):
        return store.Page((), False, 0)


class _Tracker:

    def __init__(self):
        self.registered = {}
        self.known_ids = []
        self.given_up = None

    def on_registration(self, registration):
        self.registered[registration.worker_id] = registration

    def is_settled(self, worker_id):
        return worker_id in self.registered and worker_id != self.given_up

    def on_unregistered(self, worker_id):
        self.registered.pop(worker_id, None)


@given("a feed of {count:d} pages with {size:d} registrations each")
def create_feed(context, count, size):
    pages = [
        [_row(f"w{number}", seq) for number in range(size)]
        for seq in range(1, count + 1)
    ]
    removed = store.Row(store.RowKey(_TABLE, "", "w0"), None, count + 1)
    pages.append([removed])
    pages.append([_row("w0", count + 2)])
    context.page_count = count
    context.rows = _Rows(pages)


@when("the leader follows it for {seconds:d} s")
@when(
    'the leader, which has given up "{given_up}", follows it for {seconds:d} s'
)
def follow(context, seconds, given_up=None):
    context.decoded = []
    context.tracker = _Tracker()
    context.tracker.given_up = given_up

    def decode(worker_id, content, read_s):
        context.decoded.append(worker_id)
        return documents.decode_registration(worker_id, content, read_s)

    async def run():
        recovered = asyncio.Event()
        recovered.set()
        following = asyncio.create_task(
            feeds.follow_workers(
                context.rows,
                _Reader(),
                SimpleNamespace(
                    recovered=recovered, worker_tracker=context.tracker
                ),
                _TABLE,
                decode,
                documents.registration_signature,
            )
        )
        await asyncio.wait({following}, timeout=seconds)
        assert not following.done(), following.exception()
        following.cancel()

    loops.run(context, run())


@then("it has read all pages")
def read_all(context):
    assert context.rows.read >= context.page_count, context.rows.read


@then("it has read at most {count:d} pages")
def read_few(context, count):
    assert 0 < context.rows.read <= count, context.rows.read


@then("each registration was decoded once")
def decoded_once(context):
    again = [name for name in context.decoded if name != "w0"]
    assert len(again) == len(set(again)) > 0, len(again)


@then("a registration that is removed and added again is known")
def known_again(context):
    assert context.decoded.count("w0") == 2, context.decoded.count("w0")
    assert "w0" in context.tracker.registered


@then('each renewal of "{worker_id}" was applied')
def each_applied(context, worker_id):
    found = context.decoded.count(worker_id)
    assert found == context.page_count, found
