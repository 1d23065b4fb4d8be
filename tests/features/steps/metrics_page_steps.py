"""Steps for the page of the metrics."""

from __future__ import annotations

from behave import then
from behave import when

from marigoldgap import measures

_ZONE = "west\ud800"


@when("runs remain in a zone whose name has half of a surrogate pair")
def odd_zone(context):
    measures.EVACUATING_RUNS.labels(_ZONE).set(3)
    context.add_cleanup(lambda: measures.EVACUATING_RUNS.remove(_ZONE))


@then("the page of the metrics shows the zone and all other metrics")
def shown(context):
    page = measures.text().decode()
    assert 'zone="west\\\\ud800"} 3.0' in page, page
    assert "marigoldgap_held_bytes" in page
