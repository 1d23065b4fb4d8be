"""Requests of this instance to the coordinator for more units."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigoldgap import errors
from marigoldgap.coordination import entry_agent
from marigoldgap.coordination import holding_messages
from marigoldgap.coordination import interfaces
from marigoldgap.entries import messages

# Delay of the next request after an answer without units. The coordinator sends
# units that become free in the meantime without a request.
_RETRY_DELAY_MS = 200


class HoldingRequests:
    """Sends one request per team at a time; other callers share its answer.

    Args:
        peers: Links to other instances.
        holdings: Holding accounts of this instance.
        agent: Adds the granted units.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        peers: interfaces.Peers,
        holdings: interfaces.Holdings,
        agent: entry_agent.EntryAgent,
        now_ms: Callable[[], int],
    ) -> None:
        self._peers = peers
        self._holdings = holdings
        self._agent = agent
        self._now_ms = now_ms
        self._in_flight: dict[str, asyncio.Task[int]] = {}
        self._not_before_ms: dict[str, int] = {}

    async def request(self, team: str, wanted: int) -> int:
        """Requests up to `wanted` more units of a team.

        Returns:
            The number of units granted now; more may be granted later.
        """
        in_flight = self._in_flight.get(team)
        if in_flight is None:
            if self._now_ms() < self._not_before_ms.get(team, 0):
                return 0
            in_flight = asyncio.create_task(self._send_request(team, wanted))
            self._in_flight[team] = in_flight
            in_flight.add_done_callback(
                lambda _: self._in_flight.pop(team, None)
            )
        # A cancelled caller must not cancel the request for the others.
        return await asyncio.shield(in_flight)

    async def _send_request(self, team: str, wanted: int) -> int:
        """Sends one request; returns the number of granted units."""
        before = self._holdings.report(team)
        coordinator = self._peers.membership.term.instance_id
        request = messages.HoldingRequest(
            term=before.term,
            incarnation=self._holdings.incarnation,
            wanted=wanted,
            entry=holding_messages.to_entry(team, before),
        )
        try:
            grant = await self._peers.call(coordinator, request)
        except errors.MarigoldgapError:
            self._delay_next(team)
            return 0
        self._agent.accept_grant(grant)
        after = self._holdings.report(team)
        granted = after.granted_total - before.granted_total
        if granted <= 0:
            self._delay_next(team)
        return max(0, granted)

    def _delay_next(self, team: str) -> None:
        """Delays the next request of a team."""
        self._not_before_ms[team] = self._now_ms() + _RETRY_DELAY_MS
