"""Stand-in for the links between zones and regions: a TCP relay.

The plan file given on the command line holds `directions` by name (`delay_ms`,
`rate_mbit`) and `routes`. A route has `listen`, `target`, `forward` and
`backward` (names of directions), `purpose` (under which its bytes are counted)
and `path` (the name by which its connections are cut).
"""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
from typing import Any

import typer

from marigoldgap import clock
from tests.standins import http
from tests.standins import process
from tests.standins import relay

_CONNECT_TIMEOUT_S = 5.0
_CLOSE_AFTER_MS = 10_000


class Links:
    """All routes of one process.

    Args:
        plan: The content of the plan file.
        close_after_ms: How long connections survive a cut, in milliseconds.
    """

    def __init__(self, plan: dict[str, Any], close_after_ms: int) -> None:
        self._routes = plan["routes"]
        self._directions = {
            name: relay.Direction(**fields)
            for name, fields in plan["directions"].items()
        }
        self._paths = {
            route["path"]: relay.Path(close_after_ms) for route in self._routes
        }
        self._by_purpose: dict[str, collections.Counter[str]] = {
            name: collections.Counter() for name in self._directions
        }
        self._servers: list[asyncio.Server] = []

    async def start(self, control_address: str) -> Links:
        """Listens for all routes and for control requests."""
        for route in self._routes:
            serve = self._serve_route(route)
            server = await relay.listen(route["listen"], serve)
            self._servers.append(server)
        router = http.Router()
        router.add("GET", "/control", self._show)
        router.add("POST", "/control", self._control)
        await http.Server(router, control_address).start()
        return self

    def _serve_route(self, route: dict[str, str]) -> relay.ConnectionHandler:
        """Returns a function that handles the connections of one route."""
        channel = relay.Channel(
            self._directions[route["forward"]],
            self._directions[route["backward"]],
            self._paths[route["path"]],
        )

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            channel.path.add(writer.transport)
            await asyncio.sleep(channel.forward.delay_s)
            await channel.path.wait_open()
            if writer.transport.is_closing():
                return
            try:
                server = await relay.open_target(
                    route["target"], _CONNECT_TIMEOUT_S
                )
            except OSError:
                writer.transport.abort()
                return
            finally:
                channel.path.discard(writer.transport)
            observers = (
                self._counter(route["forward"], route["purpose"]),
                self._counter(route["backward"], route["purpose"]),
            )
            await relay.relay((reader, writer), server, channel, observers)

        return serve

    def _counter(self, direction: str, purpose: str) -> relay.ChunkObserver:
        """Returns a function that counts the bytes of one purpose."""
        counts = self._by_purpose[direction]

        def count(data: bytes) -> None:
            counts[purpose] += len(data)

        return count

    async def _show(self, _: http.Request) -> http.Response:
        """Returns the bytes sent in each direction and the cut paths."""
        answer = {
            "at_ms": clock.monotonic_ms(),
            "bytes": {
                name: direction.sent_bytes
                for name, direction in self._directions.items()
            },
            "by_purpose": self._by_purpose,
            "cut": [name for name, path in self._paths.items() if path.is_cut],
        }
        return http.json_response(answer)

    async def _control(self, request: http.Request) -> http.Response:
        """Cuts and heals paths by name: `{"cut": [...], "heal": [...]}`."""
        values = request.json()
        for name in values.get("cut", []):
            self._paths[name].cut()
        for name in values.get("heal", []):
            self._paths[name].heal()
        return await self._show(request)


def main(
    plan_file: str, control: str, close_after_ms: int = _CLOSE_AFTER_MS
) -> None:
    """Relay the routes of PLAN_FILE until SIGTERM; CONTROL is `ip:port`."""
    plan = json.loads(pathlib.Path(plan_file).read_text())

    async def start() -> Links:
        return await Links(plan, close_after_ms).start(control)

    process.run(start)


if __name__ == "__main__":
    typer.run(main)
