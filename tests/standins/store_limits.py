"""Rate limits and failure switches of a store."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import NamedTuple

from marigoldgap import clock
from tests.standins import http

_LONGEST_QUEUE_S = 1.0


class RateLimit:
    """Delays operations above a rate; refuses when a second is queued.

    Args:
        per_s: Operations per second.
    """

    def __init__(self, per_s: float) -> None:
        self._interval_s = 1 / per_s
        self._free_at_s = 0.0

    async def take(self) -> bool:
        """Waits for one operation; returns False when too many wait."""
        now_s = time.monotonic()
        self._free_at_s = max(self._free_at_s, now_s)
        if self._free_at_s - now_s > _LONGEST_QUEUE_S:
            return False
        wait_s = self._free_at_s - now_s
        self._free_at_s += self._interval_s
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        return True


class Switches(NamedTuple):
    """Faults that are switched on.

    Attributes:
        outage: `off`, `refuse` (503), `close` or `hang` (no answer at all).
        delay_ms: Added to each operation before it takes effect.
        lose_answers: How many of the next writes take effect but have their
            connection closed instead of an answer.
    """

    outage: str = "off"
    delay_ms: int = 0
    lose_answers: int = 0


class Faults:
    """Applies the switches."""

    def __init__(self) -> None:
        self._off = asyncio.Event()
        self._off.set()
        self._switches = Switches()

    @property
    def switches(self) -> Switches:
        """The present switches."""
        return self._switches

    def set(self, values: dict[str, Any]) -> None:
        """Changes the given switches."""
        switches = self._switches._replace(**values)
        if switches.outage not in ("off", "refuse", "close", "hang"):
            raise http.BadRequestError(f"unknown outage {switches.outage}")
        self._switches = switches
        if switches.outage == "off":
            self._off.set()
        else:
            self._off.clear()

    async def before(self) -> http.Response | None:
        """Applies outage and delay; returns a refusal if there is one."""
        switches = self._switches
        if switches.delay_ms:
            await asyncio.sleep(
                switches.delay_ms / clock.MILLISECONDS_PER_SECOND
            )
        if self._switches.outage == "hang":
            await self._off.wait()
            raise http.CloseConnectionError
        if self._switches.outage == "close":
            raise http.CloseConnectionError
        if self._switches.outage == "refuse":
            return http.json_response({"code": "unavailable"}, 503)
        return None

    def after_write(self) -> None:
        """Loses the answer of a write that took effect, if switched on."""
        left = self._switches.lose_answers
        if left > 0:
            self._switches = self._switches._replace(lose_answers=left - 1)
            raise http.CloseConnectionError
