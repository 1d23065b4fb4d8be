"""Measures the size and cost of the platform's instance list."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import json
from typing import Any

from bench import layouts
from bench.capacity import fitting
from bench.capacity import registry
from bench.capacity import timing
from marigoldgap import http_client
from marigoldgap.table_service import instances
from tests.fixtures import peer_hubs

_INSTANCE_COUNTS = (50, 5_000, 10_000, 19_400)


class _Listing:
    """Test double of the list service with a constant list and entity tag."""

    def __init__(self, count: int) -> None:
        self.body = json.dumps(
            {"instances": [_list_record(number) for number in range(count)]}
        ).encode()

    async def read(
        self, path: str, headers: dict[str, str] | None = None
    ) -> http_client.HttpAnswer:
        """Returns the list, or status 304 if the caller already has it."""
        del path
        tag = {"etag": '"1"'}
        if headers and headers.get("if-none-match") == tag["etag"]:
            return http_client.HttpAnswer(304, tag, b"")
        return http_client.HttpAnswer(200, tag, self.body)


def _list_record(number: int) -> dict[str, str]:
    """Returns the list record of an instance."""
    is_entry = number % layouts.WORKERS_PER_RACK == 0 and number < 400
    zone = f"zone-{number % 13}"
    return {
        "id": f"{zone}-instance-{number}",
        "kind": "entry" if is_entry else "worker",
        "zone": zone,
        "region": "centro",
        "rack": f"{zone}-rack-{number // layouts.WORKERS_PER_RACK}",
        "address": "10.0.0.1:8080",
        "peer_address": "10.0.0.1:8081" if is_entry else "",
        "service": "claims-engine",
        "state": "live",
    }


@registry.measurement
def instance_list(scale: registry.Scale) -> Iterator[fitting.Point]:
    """Yields the size of the list and the costs of a refresh and a lookup."""
    for count in scale.pick(_INSTANCE_COUNTS):
        for measure, unit, value in _costs(_Listing(count)):
            series = fitting.Series(
                "instance list", measure, "process", "instances", unit
            )
            yield fitting.Point(series, count, value)


def _costs(listing: _Listing) -> list[tuple[str, str, float]]:
    """Returns the measures of one list with their units and values."""
    settings = peer_hubs.make_settings("e1", "zone-1", peers={})
    source: Any = listing
    known = instances.InstanceList(settings, source)
    with asyncio.Runner() as runner:

        def refresh() -> None:
            runner.run(known.refresh())

        def read_first() -> None:
            runner.run(instances.InstanceList(settings, source).refresh())

        refresh()
        return [
            ("size", "B", float(len(listing.body))),
            ("changed list", "us", timing.best_us(read_first)),
            ("unchanged list", "us", timing.best_us(refresh)),
            (
                "workers of a zone",
                "us",
                timing.best_us(known.workers, "zone-1"),
            ),
        ]
