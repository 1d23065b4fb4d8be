"""Steps for the metrics client."""

from __future__ import annotations

import random
import socket

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap.metrics import client
from marigoldgap.metrics import names
from tests.fixtures import table_double


def _client(address):
    settings = table_double.settings_for(
        "127.0.0.1:9", metrics={"address": address}
    )
    return client.MetricsClient(settings, random.Random(1))


@given("a statsd server and a metrics client")
def statsd_server(context):
    context.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(context.statsd.close)
    context.statsd.bind(("127.0.0.1", 0))
    context.statsd.settimeout(5)
    host, port = context.statsd.getsockname()
    context.metrics_client = _client(f"{host}:{port}")
    context.add_cleanup(context.metrics_client.close)


def _received(context):
    """Returns all lines; a flush of loopback datagrams arrives at once."""
    context.metrics_client.flush()
    lines = context.statsd.recv(65_536).decode().split("\n")
    context.statsd.setblocking(False)
    try:
        while True:
            lines += context.statsd.recv(65_536).decode().split("\n")
    except BlockingIOError:
        return lines


@when("{accepted:d} requests are accepted and {waiting:d} wait")
def record_requests(context, accepted, waiting):
    for _ in range(accepted):
        context.metrics_client.count(names.REQUESTS_ACCEPTED)
    context.metrics_client.gauge(names.QUEUE_LENGTH, waiting)


@then('the server receives "{line}"')
def server_receives(context, line):
    if not hasattr(context, "statsd_lines"):
        context.statsd_lines = _received(context)
    assert line in context.statsd_lines, context.statsd_lines


@then("no metric call raises an error, with and without a server")
def metric_calls_never_raise(context):
    values = strategies.floats() | strategies.integers()

    @hypothesis.given(
        strategies.sampled_from(["127.0.0.1:9", None]),
        strategies.text(),
        values,
    )
    def check(address, suffix, value):
        metrics = _client(address)
        metrics.count(names.REQUESTS_REFUSED, 1, suffix)
        metrics.gauge(names.FREE_SLOTS, value, suffix)
        metrics.timing(names.REQUEST_TIME, value, suffix)
        metrics.flush()
        metrics.close()
        metrics.count(names.REQUESTS_REFUSED)
        metrics.flush()

    check()


@when("{count:d} timings are measured")
def record_timings(context, count):
    for number in range(count):
        context.metrics_client.timing(names.DECISION_TIME, number)


@then("the server receives at most {count:d} samples")
def bounded_samples(context, count):
    assert 0 < len(_received(context)) <= count


@then("all metric names differ and have a meaning")
def unique_names(context):
    metrics = names.all_metrics()
    assert len({metric.name for metric in metrics}) == len(metrics)
    assert all(metric.meaning for metric in metrics)
