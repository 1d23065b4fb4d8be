"""Steps for the stand-ins of links and balancers."""

from __future__ import annotations

import http.client
import json
import socket
import threading
import time

from behave import given
from behave import then
from behave import when

from tests.fixtures import standin_http
from tests.fixtures import standin_processes

_WAIT_S = 20


@given("a stand-in table behind a link of {delay_ms:d} ms and {rate:d} Mbit/s")
def start_linked_table(context, delay_ms, rate):
    table = standin_processes.free_address()
    process = standin_processes.start("table", table)
    context.add_cleanup(standin_processes.stop, process)
    context.link_listen = standin_processes.free_address()
    context.link_control = standin_processes.free_address()
    direction = {"delay_ms": delay_ms, "rate_mbit": rate}
    route = {
        "listen": context.link_listen,
        "target": table,
        "forward": "a>b",
        "backward": "b>a",
        "path": "a|b",
        "purpose": "test",
    }
    plan = {
        "directions": {"a>b": direction, "b>a": direction},
        "routes": [route],
    }
    file = standin_processes.scratch_file(context, json.dumps(plan))
    link = standin_processes.start(
        "link", file, context.link_control, "--close-after-ms=500"
    )
    context.add_cleanup(standin_processes.stop, link)
    context.linked_table = table


@when("a row of {size:d} bytes is written and read over the link")
def exchange_over_link(context, size):
    value = {"puts": [{"key": "big", "value": "x" * size}]}
    started_s = time.monotonic()
    standin_http.call(context.link_listen, "POST", "/v1/transactions", value)
    row = standin_http.call(context.link_listen, "GET", "/v1/rows/big")
    context.link_took_ms = (time.monotonic() - started_s) * 1_000
    assert row.value["value"] == "x" * size


@then("the exchange over the link took at least {least_ms:d} ms")
def link_took(context, least_ms):
    # 2 * 20 kB at 1 Mbit/s are 320 ms, two round trips are 120 ms.
    assert context.link_took_ms >= least_ms, context.link_took_ms


@then("the link counted at least {size:d} bytes in each direction")
def link_counted(context, size):
    shown = standin_http.call(context.link_control, "GET", "/control").value
    assert min(shown["bytes"].values()) >= size, shown


@then("the link counted the same bytes for the purpose of the route")
def link_counted_purpose(context):
    shown = standin_http.call(context.link_control, "GET", "/control").value
    for direction, size in shown["bytes"].items():
        assert shown["by_purpose"][direction] == {"test": size}, shown


@when("the link is cut")
def cut_link(context):
    value = {"cut": ["a|b"]}
    standin_http.call(context.link_control, "POST", "/control", value)


@when("the link is healed")
def heal_link(context):
    value = {"heal": ["a|b"]}
    standin_http.call(context.link_control, "POST", "/control", value)


@then("a request over the link fails and does not reach the table")
def link_request_fails(context):
    value = {"puts": [{"key": "lost", "value": 1}]}
    path = "/v1/transactions"
    try:
        standin_http.call(context.link_listen, "POST", path, value)
    except (OSError, http.client.HTTPException):
        found = standin_http.call(context.linked_table, "GET", "/v1/rows/lost")
        assert found.status == 404
        return
    raise AssertionError("a cut link forwarded a request")


@then("a request over the link is answered")
def link_answers(context):
    answer = standin_http.call(context.link_listen, "GET", "/v1/rows/none")
    assert answer.status == 404


class _Entry:
    """An entry instance that responds, cuts its response short or waits."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.mode = "answer"
        threading.Thread(target=self._run, daemon=True).start()

    def close(self):
        self._listener.close()

    def _run(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self._answer(connection)

    def _answer(self, connection):
        request = connection.recv(65_536)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
        if b"/readyz" in request or self.mode == "answer":
            connection.sendall(head + b"{}")
        elif self.mode == "break":
            connection.sendall(head + b"{")
        else:
            connection.recv(1)


@given("a stand-in balancer over a ready, a leaving and a dead entry")
def start_balancer(context):
    context.ready_entry = _Entry()
    context.add_cleanup(context.ready_entry.close)
    dead = standin_processes.free_address()
    listed = [
        ("ready", context.ready_entry.address, "live"),
        ("leaving", context.ready_entry.address, "leaving"),
        ("dead", dead, "live"),
    ]
    instances = [
        {
            "id": name,
            "kind": "entry",
            "zone": "z1",
            "address": address,
            "state": state,
        }
        for name, address, state in listed
    ]
    file = standin_processes.scratch_file(context, json.dumps(instances))
    list_address = standin_processes.free_address()
    shown = standin_processes.start(
        "instance_list",
        f"--instances-file={file}",
        f"--listen=z1={list_address}",
    )
    context.add_cleanup(standin_processes.stop, shown)
    context.balancer = standin_processes.free_address()
    context.balancer_control = standin_processes.free_address()
    balancer = standin_processes.start(
        "balancer",
        context.balancer,
        list_address,
        "z1",
        context.balancer_control,
    )
    context.add_cleanup(standin_processes.stop, balancer)
    assert _wait_until(lambda: _balancer(context)["ready"] == ["ready"])


def _balancer(context):
    path = "/control/records"
    return standin_http.call(context.balancer_control, "GET", path).value


def _wait_until(condition):
    """Waits up to 20 s for a condition; returns whether it became true."""
    for _ in range(_WAIT_S * 20):
        if condition():
            return True
        time.sleep(0.05)
    return False


@then("{count:d} callers of the balancer get the response of the ready entry")
def balancer_answers(context, count):
    for _ in range(count):
        answer = standin_http.call(context.balancer, "GET", "/")
        assert answer.status == 200


@when("the ready entry cuts a response short")
def entry_cuts_response_short(context):
    context.ready_entry.mode = "break"
    try:
        standin_http.call(context.balancer, "GET", "/")
    except http.client.IncompleteRead:
        return
    raise AssertionError("the caller got no incomplete response")


@then("the balancer recorded an interruption by the ready entry")
def interruption_recorded(context):
    assert _wait_until(lambda: _balancer(context)["records"])
    [record] = _balancer(context)["records"]
    assert record["event"] == "interrupted"
    assert record["entry"] == "ready"


@when("a caller of the balancer closes before the response")
def caller_closes(context):
    context.ready_entry.mode = "wait"
    host, _, port = context.balancer.partition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
        time.sleep(0.2)
    time.sleep(0.2)


@then("the balancer recorded no interruption")
def no_interruption(context):
    assert _balancer(context)["records"] == []
