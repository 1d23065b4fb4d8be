"""Steps for entries of other writers."""

from __future__ import annotations

from behave import then
from behave import when

from marigoldgap import json_object
from marigoldgap.web import messages
from marigoldgap.web import server
from tests.fixtures import cell_world
from tests.fixtures import loops

_ODD_KEYS = {
    "no Latin-1 text": "expediente-№7",
    "split by a line break": "w9\r\nX-Odd: 1",
    "ended by a space": "w9 ",
    "a control character": "w\x00",
    "half of a surrogate pair": "w\ud800",
    "empty": "",
}
# Distance of the full-width digits, which the resolver of names takes for the
# usual ones.
_FULL_WIDTH = ord("\N{FULLWIDTH DIGIT ZERO}") - ord("0")
_ODD_HOSTS = {
    "in digits of another size": "".join(
        chr(ord(each) + _FULL_WIDTH) if each.isdigit() else each
        for each in "127.0.0.1"
    ),
    "a name": "localhost",
}


def _register_program(context, key, host=""):
    """Registers a program that is no worker, with the usual fields."""
    context.received = []

    async def answer(request):
        context.received.append(request)
        return messages.Response(404)

    async def start():
        address = cell_world.free_address()
        program = server.HttpServer(answer)
        await program.start(address)
        context.add_cleanup(program.close)
        return address

    address = loops.run(context, start())
    own_host, _, port = address.rpartition(":")
    entry = {
        "service": "claims",
        "address": f"{host or own_host}:{port}",
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 16_000, "memMb": 65_536, "gpu": 0},
        "labels": ["a", "r1"],
        "born": 1,
    }
    context.world.store.put("servers", "", key, json_object.encode(entry))


@when("another writer registers a program under a key that is {odd}")
def register_under_odd_key(context, odd):
    _register_program(context, _ODD_KEYS[odd])


@when("another writer registers a program whose address is {odd}")
def register_with_odd_address(context, odd):
    _register_program(context, "w9", _ODD_HOSTS[odd])


@when("another writer adds {count:d} entries with half of a surrogate pair")
def add_many(context, count):
    for number in range(count):
        context.world.store.put("servers", "", f"a\ud800{number}", b"{}")


@when("another instance becomes the leader")
def change_leader(context):
    former = context.world.leader()
    former.request_stop()

    def has_changed():
        return any(
            each is not former and each.scheduler
            for each in context.world.instances
        )

    loops.run(context, loops.until(has_changed))


@then("the program has received no request")
def received_nothing(context):
    assert not context.received, context.received
