"""Rate limits and fault switches of a store."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import NamedTuple

from marigoldgap import clock
from tests.standins import http

_MAX_DELAY_S = 1.0


class RateLimit:
    """Delays operations above a rate and refuses those delayed above 1 s.

    Args:
        operations_per_s: Operations per second.
    """

    def __init__(self, operations_per_s: float) -> None:
        self._interval_s = 1 / operations_per_s
        self._free_at_s = 0.0

    async def acquire(self) -> bool:
        """Waits until an operation may run; returns False if it is refused."""
        now_s = time.monotonic()
        self._free_at_s = max(self._free_at_s, now_s)
        if self._free_at_s - now_s > _MAX_DELAY_S:
            return False
        wait_s = self._free_at_s - now_s
        self._free_at_s += self._interval_s
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        return True


class Switches(NamedTuple):
    """Faults to inject.

    Attributes:
        outage: `off`, `refuse` (503), `close` (the connection) or `hang` (no
            response at all).
        delay_ms: Delay of each operation before it takes effect, in
            milliseconds.
        lose_answers: Number of the next writes that take effect but have
            their connection closed instead of a response.
    """

    outage: str = "off"
    delay_ms: int = 0
    lose_answers: int = 0


class Faults:
    """Injects faults as the switches say."""

    def __init__(self) -> None:
        self._outage_over = asyncio.Event()
        self._outage_over.set()
        self._switches = Switches()

    @property
    def switches(self) -> Switches:
        """The current switches."""
        return self._switches

    def set(self, values: dict[str, Any]) -> None:
        """Changes the given switches."""
        switches = self._switches._replace(**values)
        if switches.outage not in ("off", "refuse", "close", "hang"):
            raise http.BadRequestError(f"unknown outage {switches.outage}")
        self._switches = switches
        if switches.outage == "off":
            self._outage_over.set()
        else:
            self._outage_over.clear()

    async def before_operation(self) -> http.Response | None:
        """Injects outage and delay before an operation takes effect.

        Returns:
            The response that refuses the operation, or None.

        Raises:
            http.CloseConnectionError: The outage closes connections, or it
                left the operation without a response until it ended.
        """
        switches = self._switches
        if switches.delay_ms:
            await asyncio.sleep(
                switches.delay_ms / clock.MILLISECONDS_PER_SECOND
            )
        if self._switches.outage == "hang":
            await self._outage_over.wait()
            raise http.CloseConnectionError
        if self._switches.outage == "close":
            raise http.CloseConnectionError
        if self._switches.outage == "refuse":
            return http.json_response({"code": "unavailable"}, 503)
        return None

    def after_write(self) -> None:
        """Withholds the response to a write that took effect, if switched on.

        Raises:
            http.CloseConnectionError: The response is to be withheld.
        """
        left = self._switches.lose_answers
        if left > 0:
            self._switches = self._switches._replace(lose_answers=left - 1)
            raise http.CloseConnectionError
