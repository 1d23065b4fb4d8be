"""Tells the request queue how much each team uses in the zone."""

from __future__ import annotations

import asyncio
from collections import Counter

from marigoldgap import clock
from marigoldgap.dispatch import dispatcher as dispatch_dispatcher
from marigoldgap.entries import membership as membership_module

_REPORT_MS = 500


class UsageReporter:
    """Adds up running tasks of this instance and its live peers.

    Waiting requests are ordered by usage / share. Counted here alone, a team
    whose tasks run on the workers of other instances would look idle.

    Args:
        dispatcher: Has the request queue and the own running tasks.
        membership: Has the running tasks in the peers' last heartbeats.
    """

    def __init__(
        self,
        dispatcher: dispatch_dispatcher.Dispatcher,
        membership: membership_module.Membership,
    ) -> None:
        self._dispatcher = dispatcher
        self._membership = membership

    async def run(self) -> None:
        """Reports twice a second; never ends."""
        while True:
            self.report()
            await asyncio.sleep(_REPORT_MS / clock.MILLISECONDS_PER_SECOND)

    def report(self) -> None:
        """Reports the usage of each team as a part of all running tasks."""
        running: Counter[str] = Counter(
            self._dispatcher.holdings.running_by_team()
        )
        for peer in self._membership.peers():
            if peer.alive:
                running.update(peer.running)
        total = max(1, running.total())
        self._dispatcher.usage.report(
            {team: number / total for team, number in running.items()}
        )
