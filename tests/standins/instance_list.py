"""Stand-in for the platform's instance list, which shows changes late.

It listens on one address per zone, since each zone may reach the same
instance at a different address (through the relay of a link).
"""

from __future__ import annotations

import collections
import hashlib
import json
import pathlib
from typing import Annotated
from typing import Any

import typer

from marigoldgap import clock
from tests.standins import http
from tests.standins import process
from tests.standins import store_limits

_LAG_MS = 2_000
_TAG_DIGITS = 16
_FIELDS = (
    "id",
    "kind",
    "zone",
    "region",
    "rack",
    "address",
    "peer_address",
    "service",
    "state",
)

Instance = dict[str, Any]


class InstanceList:
    """Serves the instance list with a lag.

    Args:
        instances: Fields of each instance as on the design page, and
            optionally `addresses_from` as `{zone: {"address",
            "peer_address"}}`, which replace its addresses for callers in
            these zones.
        lag_ms: Time until a change is visible, in milliseconds.
    """

    def __init__(self, instances: list[Instance], lag_ms: int) -> None:
        self._lag_ms = lag_ms
        self._faults = store_limits.Faults()
        self._latest = {instance["id"]: instance for instance in instances}
        self._visible = dict(self._latest)
        self._pending: collections.deque[tuple[int, dict[str, Instance]]] = (
            collections.deque()
        )

    def router(self, zone: str) -> http.Router:
        """Returns the routes for callers in one zone."""

        async def show(request: http.Request) -> http.Response:
            refusal = await self._faults.before_operation()
            if refusal:
                return refusal
            shown = {"instances": self._visible_from(zone)}
            tag = _entity_tag(shown)
            headers = {"etag": tag}
            if request.headers.get("if-none-match") == tag:
                return http.Response(304, headers=headers)
            return http.json_response(shown, headers=headers)

        router = http.Router()
        router.add("GET", "/v1/instances", show)
        router.add("POST", "/control", self._control)
        router.add("POST", "/control/instances/{name}", self._change)
        router.add("DELETE", "/control/instances/{name}", self._delete)
        return router

    async def _control(self, request: http.Request) -> http.Response:
        """Sets switches for outage and delay."""
        self._faults.set(request.json())
        return http.json_response({})

    async def _change(self, request: http.Request, name: str) -> http.Response:
        """Adds an instance or changes fields of one."""
        instance = {**self._latest.get(name, {"id": name}), **request.json()}
        self._publish({**self._latest, name: instance})
        return http.json_response({})

    async def _delete(self, _: http.Request, name: str) -> http.Response:
        """Removes an instance."""
        latest = dict(self._latest)
        latest.pop(name, None)
        self._publish(latest)
        return http.json_response({})

    def _publish(self, latest: dict[str, Instance]) -> None:
        """Schedules a version of the list to become visible after the lag."""
        self._latest = latest
        visible_at_ms = clock.monotonic_ms() + self._lag_ms
        self._pending.append((visible_at_ms, latest))

    def _visible_from(self, zone: str) -> list[dict[str, str]]:
        """Returns the visible list with the addresses for callers in a zone."""
        now_ms = clock.monotonic_ms()
        while self._pending and self._pending[0][0] <= now_ms:
            self._visible = self._pending.popleft()[1]
        return [_view(instance, zone) for instance in self._visible.values()]


def _entity_tag(shown: dict[str, Any]) -> str:
    """Returns the entity tag of a response body."""
    digest = hashlib.sha256(json.dumps(shown).encode()).hexdigest()
    return f'"{digest[:_TAG_DIGITS]}"'


def _view(instance: Instance, zone: str) -> dict[str, str]:
    """Returns the fields of one instance with the addresses for a zone."""
    addresses = instance.get("addresses_from", {}).get(zone, {})
    merged = {"state": "live", **instance, **addresses}
    return {field: merged.get(field, "") for field in _FIELDS}


def main(
    listen: Annotated[
        list[str], typer.Option(help="zone=ip:port, once for each zone.")
    ],
    instances_file: Annotated[
        str, typer.Option(help="JSON array of instances.")
    ] = "",
    lag_ms: int = _LAG_MS,
) -> None:
    """Serve the list until SIGTERM."""
    instances = []
    if instances_file:
        instances = json.loads(pathlib.Path(instances_file).read_text())

    async def start() -> list[http.Server]:
        shown = InstanceList(instances, lag_ms)
        servers = []
        for each in listen:
            zone, _, address = each.partition("=")
            server = http.Server(shown.router(zone), address)
            await server.start()
            servers.append(server)
        return servers

    process.run(start)


if __name__ == "__main__":
    typer.run(main)
