"""Requests of this instance for more units of a team's limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigoldgap import errors
from marigoldgap.coordination import entry_agent
from marigoldgap.coordination import holding_wire
from marigoldgap.coordination import interfaces
from marigoldgap.entries import messages

# After an answer without units the next request waits this long; units that
# become free meanwhile are sent by the coordinator without a request.
_PAUSE_MS = 200


class HoldingRequests:
    """Has one request per team under way; others wait for its answer.

    Args:
        peers: Link to the coordinator.
        holdings: Accounts of this instance.
        agent: Takes the granted units over.
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
        self._under_way: dict[str, asyncio.Task[int]] = {}
        self._not_before_ms: dict[str, int] = {}

    async def request(self, team: str, wanted: int) -> int:
        """Asks for up to `wanted` more units.

        Returns:
            The units that were granted now; more may follow later.
        """
        running = self._under_way.get(team)
        if running is None:
            if self._now_ms() < self._not_before_ms.get(team, 0):
                return 0
            running = asyncio.create_task(self._ask(team, wanted))
            self._under_way[team] = running
            running.add_done_callback(lambda _: self._under_way.pop(team, None))
        # A caller that gives up must not cancel the request of the others.
        return await asyncio.shield(running)

    async def _ask(self, team: str, wanted: int) -> int:
        """Sends one request."""
        before = self._holdings.report(team)
        coordinator = self._peers.membership.term.instance_id
        request = messages.HoldingRequest(
            term=before.term,
            incarnation=self._holdings.incarnation,
            wanted=wanted,
            entry=holding_wire.to_entry(team, before),
        )
        try:
            grant = await self._peers.call(coordinator, request)
        except errors.MarigoldgapError:
            self._pause(team)
            return 0
        self._agent.accept_grant(grant)
        after = self._holdings.report(team)
        granted = after.granted_total - before.granted_total
        if granted <= 0:
            self._pause(team)
        return max(0, granted)

    def _pause(self, team: str) -> None:
        """Delays the next request of a team."""
        self._not_before_ms[team] = self._now_ms() + _PAUSE_MS
