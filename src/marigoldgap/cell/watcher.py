"""Detects at once that the leader's process has ended.

A process that ends resets its connections, and its port refuses new ones. A
machine that loses power does neither; its failure shows in the store, where
its heartbeat stops.
"""

from __future__ import annotations

import asyncio

from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap.cell import election as elections
from marigoldgap.cell import leader_row
from marigoldgap.cell import peers
from marigoldgap.web import client
from marigoldgap.web import messages

_log = decision_log.DecisionLogger("watcher")

# Pause while there is no leader to watch, and between two attempts.
_PAUSE_S = 0.2


class Watcher:
    """Watches the leader over a connection; takes over when it has ended.

    Args:
        election: This instance's part in the election.
        own_name: Name of this instance.
        pool: Connections to peers.
    """

    def __init__(
        self,
        election: elections.Election,
        own_name: str,
        pool: client.HttpPool,
    ) -> None:
        self._election = election
        self._own_name = own_name
        self._pool = pool
        # The leader that closed the latest connection in order, as the end of
        # its process does, and has refused connections since; a network cut
        # resets or silences open ones.
        self._closed_by: leader_row.Leader | None = None

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            leader = self._election.leader
            if (
                leader is None
                or leader.is_released
                or leader.instance == self._own_name
            ):
                await asyncio.sleep(_PAUSE_S)
                continue
            peer = peers.PeerClient(self._pool, leader.address, leader.instance)
            closed_by, self._closed_by = self._closed_by, None
            try:
                await peer.watch()
            except messages.ConnectionRefusedByHostError:
                self._closed_by = closed_by
                await self._take_over(leader, closed_by == leader)
                await asyncio.sleep(_PAUSE_S)
            except messages.ClosedByHostError as error:
                self._closed_by = leader
                _log.info(
                    "leader_closed_connection",
                    leader=leader.instance,
                    cause=str(error),
                )
            except messages.NoAnswerError as error:
                _log.info(
                    "leader_connection_lost",
                    leader=leader.instance,
                    cause=str(error),
                )
            except errors.MarigoldgapError as error:
                _log.warning(
                    "leader_unreachable",
                    leader=leader.instance,
                    cause=str(error),
                )
                await asyncio.sleep(_PAUSE_S)

    async def _take_over(
        self, leader: leader_row.Leader, has_ended: bool
    ) -> None:
        await asyncio.sleep(self._election.claim_delay_s)
        try:
            await self._election.take_over(
                leader.epoch,
                f"the process of {leader.instance} refuses connections",
                has_ended=has_ended,
            )
        except errors.MarigoldgapError as error:
            _log.warning("take_over_failed", cause=str(error))
