"""Steps for the choice of free addresses."""

from __future__ import annotations

import socket

from behave import given
from behave import then
from behave import when

from bench import ports


@given("two sources of addresses that start at the same port")
def create_sources(context):
    # The first port depends on the process only.
    context.sources = (ports.Ports(), ports.Ports())


@when("each of them chooses {count:d} addresses")
def choose_addresses(context, count):
    context.chosen = [
        source.take() for _ in range(count) for source in context.sources
    ]


@then("no address was chosen twice")
def addresses_differ(context):
    assert len(set(context.chosen)) == len(context.chosen), context.chosen


@then("a connection to the first address is refused")
def connection_refused(context):
    try:
        socket.create_connection(_split(context.chosen[0]))
    except ConnectionRefusedError:
        return
    raise AssertionError(f"{context.chosen[0]} accepts connections")


@then("the owner can listen at the first address, close it and listen again")
def owner_listens(context):
    address = _split(context.chosen[0])
    for _ in range(2):
        with socket.create_server(address):
            with socket.create_connection(address):
                pass


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
