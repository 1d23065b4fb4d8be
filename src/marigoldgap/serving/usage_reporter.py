"""Reports the usage of each team in the zone to the request queue."""

from __future__ import annotations

import asyncio
from collections import Counter

from marigoldgap import clock
from marigoldgap.dispatch import dispatcher as dispatch_dispatcher
from marigoldgap.entries import membership as membership_module

_REPORT_INTERVAL_MS = 500


class UsageReporter:
    """Sums the running tasks of this instance and its live peers.

    Waiting requests are ordered by usage / share. If only the tasks of this
    instance counted, a team whose tasks run on the workers of other
    instances would appear idle.

    Args:
        dispatcher: Provides the running tasks; gets the usage.
        membership: Provides the running tasks of the last peer heartbeats.
    """

    def __init__(
        self,
        dispatcher: dispatch_dispatcher.Dispatcher,
        membership: membership_module.Membership,
    ) -> None:
        self._dispatcher = dispatcher
        self._membership = membership

    async def run(self) -> None:
        """Reports every 500 ms; never ends."""
        while True:
            self.report()
            await asyncio.sleep(
                _REPORT_INTERVAL_MS / clock.MILLISECONDS_PER_SECOND
            )

    def report(self) -> None:
        """Reports the usage of each team as a fraction of all running tasks."""
        running: Counter[str] = Counter(
            self._dispatcher.holdings.running_by_team()
        )
        for peer in self._membership.peers():
            if peer.alive:
                running.update(peer.running)
        total = max(1, running.total())
        self._dispatcher.usage.report(
            {team: count / total for team, count in running.items()}
        )
