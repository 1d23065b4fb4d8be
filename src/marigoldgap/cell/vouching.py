"""Asks the other instances to vouch for a leader that the store does not confirm.

In an outage of the whole store nobody can be elected, so the leader may go on. Each other instance has to say that it knows no
later leader: one that does not answer may be the next leader.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap.cell import peers as peer_calls
from marigoldgap.cell import scheduler as schedulers

_log = decision_log.DecisionLogger("authority")

# Time without a confirmation by the store after which the instances are asked.
_MIN_UNCONFIRMED_S = 0.8
# Interval at which they are asked.
_INTERVAL_S = 0.5


class Instances(Protocol):
    """The other registered instances.

    Attributes:
        peers: Clients of the other instances.
        is_read: Whether they were read during this leadership.
    """

    peers: list[peer_calls.PeerClient]
    is_read: bool


async def run(
    scheduler: schedulers.Scheduler,
    instances: Instances,
) -> None:
    """Extends the authority of the leader in an outage, until cancelled.

    Args:
        scheduler: The scheduler of the leader.
        instances: The other instances.
    """
    while True:
        await asyncio.sleep(_INTERVAL_S)
        is_confirmed = scheduler.authority.unconfirmed_s < _MIN_UNCONFIRMED_S
        if is_confirmed or not instances.is_read:
            continue
        asked_s = clock.now_s()
        epoch = scheduler.worker_tracker.epoch
        answers = await asyncio.gather(
            *(peer.vouch(epoch) for peer in instances.peers),
            return_exceptions=True,
        )
        vouching = sum(answer is True for answer in answers)
        _log.info(
            "peers_asked",
            epoch=epoch,
            unconfirmed_s=round(scheduler.authority.unconfirmed_s, 3),
            peers=len(answers),
            vouching=vouching,
        )
        if vouching == len(answers):
            scheduler.authority.vouch(asked_s)
