"""Stand-in for the platform's load balancer in front of one zone.

It distributes TCP connections over the entry instances that the instance list
shows as live and that respond to `/readyz` with status 200. Callers send one
request per connection. It records each connection that an entry instance
closed before the response was complete.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import typer

from marigoldgap import clock
from tests.standins import http
from tests.standins import process
from tests.standins import relay
from tests.standins import response_tracker

_CHECK_INTERVAL_S = 0.5
_CHECK_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 1.0


class _Exchange:
    """Tracks the request and the response of one connection."""

    def __init__(self, caller: asyncio.StreamReader) -> None:
        self._caller = caller
        self._response = response_tracker.ResponseTracker()
        self._request_started = False
        self._caller_closed = False
        self._entry_closed = False

    @property
    def interrupted(self) -> bool:
        """Whether the entry instance closed before its response was whole."""
        if (
            not self._request_started
            or self._response.complete
            or self._caller_closed
        ):
            return False
        return self._entry_closed or self._caller.exception() is None

    def feed_request(self, data: bytes) -> None:
        """Processes bytes of the caller; empty when it closes its side."""
        self._request_started = self._request_started or bool(data)
        if not data and not self._entry_closed:
            self._caller_closed = True

    def feed_response(self, data: bytes) -> None:
        """Processes bytes of the entry instance; empty when it closes."""
        self._response.feed(data)
        self._entry_closed = self._entry_closed or not data


class Balancer:
    """Distributes the connections of callers over one zone.

    Args:
        list_address: Address of the instance list for the zone.
        zone: The zone whose entry instances are used.
        delay_ms: One-way latency between callers and the balancer.
    """

    def __init__(self, list_address: str, zone: str, delay_ms: float) -> None:
        self._list_address = list_address
        self._zone = zone
        self._channel = relay.Channel(
            relay.Direction(delay_ms, 0),
            relay.Direction(delay_ms, 0),
            relay.Path(0),
        )
        self._ready: dict[str, str] = {}
        self._next = 0
        self._events: list[dict[str, Any]] = []
        self._tasks: list[Any] = []

    async def start(self, address: str, control_address: str) -> Balancer:
        """Listens for callers and control requests."""
        self._tasks.append(asyncio.create_task(self._run_checks()))
        self._tasks.append(await relay.listen(address, self._serve))
        router = http.Router()
        router.add("GET", "/control/records", self._records)
        await http.Server(router, control_address).start()
        return self

    async def _run_checks(self) -> None:
        """Runs a readiness check at an interval until cancelled."""
        while True:
            try:
                await self._check()
            except (OSError, ValueError, KeyError, IndexError):
                pass
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _check(self) -> None:
        """Updates the ready entry instances of the zone."""
        _, body = await _get(self._list_address, "/v1/instances")
        listed = {
            each["id"]: each["address"]
            for each in json.loads(body)["instances"]
            if each["kind"] == "entry"
            and each["zone"] == self._zone
            and each["state"] == "live"
        }
        answers = await asyncio.gather(
            *(_get(address, "/readyz") for address in listed.values()),
            return_exceptions=True,
        )
        self._ready = {
            name: address
            for (name, address), answer in zip(
                listed.items(), answers, strict=True
            )
            if isinstance(answer, tuple) and answer[0] == 200
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays one connection of a caller to an entry instance."""
        await asyncio.sleep(self._channel.forward.delay_s)
        found = await self._connect()
        if found is None:
            writer.transport.abort()
            return
        name, server = found
        exchange = _Exchange(reader)
        await relay.relay(
            (reader, writer),
            server,
            self._channel,
            (exchange.feed_request, exchange.feed_response),
        )
        if exchange.interrupted:
            self._events.append(
                {
                    "event": "interrupted",
                    "entry": name,
                    "at_ms": clock.monotonic_ms(),
                }
            )

    async def _connect(
        self,
    ) -> tuple[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] | None:
        """Opens a connection to the next entry instance that accepts one."""
        ready = list(self._ready.items())
        self._next += 1
        for offset in range(len(ready)):
            name, address = ready[(self._next + offset) % len(ready)]
            try:
                server = await relay.open_target(address, _CONNECT_TIMEOUT_S)
            except OSError:
                continue
            return name, server
        return None

    async def _records(self, _: http.Request) -> http.Response:
        """Returns the recorded events and the ready entry instances."""
        answer = {"records": self._events, "ready": sorted(self._ready)}
        return http.json_response(answer)


async def _get(address: str, path: str) -> tuple[int, bytes]:
    """Sends a GET request; returns status and body of the response.

    Raises:
        OSError: The connection failed or there was no response in time.
        ValueError: The response was not HTTP.
    """
    async with asyncio.timeout(_CHECK_TIMEOUT_S):
        reader, writer = await relay.open_target(address, _CHECK_TIMEOUT_S)
        try:
            writer.write(
                f"GET {path} HTTP/1.1\r\nHost: {address}\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            data = await reader.read()
        finally:
            writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1]), body


def main(
    address: str,
    list_address: str,
    zone: str,
    control: str,
    delay_ms: float = 0,
) -> None:
    """Balance connections to ADDRESS over the entry instances of ZONE."""

    async def start() -> Balancer:
        balancer = Balancer(list_address, zone, delay_ms)
        return await balancer.start(address, control)

    process.run(start)


if __name__ == "__main__":
    typer.run(main)
