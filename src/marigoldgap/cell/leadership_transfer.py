"""Transfers leadership from a badly placed leader to a preferred candidate.

A leader on a thin link can keep its heartbeat and yet be too slow for the
workers and jobs of the cell, or have no room left on its link. It then offers its leadership to the preferred
candidates. A preferred candidate never does, so leadership moves at most once
after each election, also if the workers answer no instance.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap.cell import election as elections
from marigoldgap.cell import link_meter
from marigoldgap.cell import scheduler as schedulers
from marigoldgap.web import client

_log = decision_log.DecisionLogger("transfer")

# A recovery that takes longer is left to a better placed instance. It is longer
# than the time within which all workers accept a new fencing token.
_MAX_RECOVERY_S = 2.0
# Share of the registered workers that may not answer.
_MAX_UNREACHABLE_SHARE = 0.1
# Time for which more workers than that must not answer.
_MIN_UNREACHABLE_S = 2.0
# Share of its link that a leader may use, and time for which it may use more. From
# there on, commands and listings of the workers wait for each other.
_MAX_LINK_SHARE = 0.5
_MIN_BUSY_S = 2.0
# Interval between two checks, and pause after an offer that nobody accepted.
_CHECK_S = 0.25
_OFFER_PAUSE_S = 3.0


class TransferPolicy:
    """Decides when a badly placed leader offers its leadership.

    Args:
        elected_s: Monotonic time of the election in seconds.
    """

    def __init__(self, elected_s: float) -> None:
        self._elected_s = elected_s
        self._reachable_s = elected_s
        self._idle_s = elected_s
        self._earliest_offer_s = elected_s

    def find_cause(
        self,
        now: float,
        is_recovered: bool,
        unreachable_share: float,
        link_share: float,
    ) -> str:
        """Returns why the leader should offer its leadership; "" if it should not.

        Args:
            now: Current monotonic time in seconds.
            is_recovered: Whether the leader has restored the state.
            unreachable_share: Share of the registered workers that do not
                answer the leader.
            link_share: Share of the link of the leader that is in use.
        """
        if not is_recovered or link_share <= _MAX_LINK_SHARE:
            self._idle_s = now
        if not is_recovered or unreachable_share <= _MAX_UNREACHABLE_SHARE:
            self._reachable_s = now
        if now < self._earliest_offer_s:
            return ""
        if not is_recovered and now - self._elected_s > _MAX_RECOVERY_S:
            return "slow recovery"
        if now - self._reachable_s > _MIN_UNREACHABLE_S:
            return "workers do not answer"
        if now - self._idle_s > _MIN_BUSY_S:
            return "the link is busy"
        return ""

    def record_declined(self, now: float) -> None:
        """Records an offer that nobody accepted."""
        self._earliest_offer_s = now + _OFFER_PAUSE_S


async def run(
    election: elections.Election,
    scheduler: schedulers.Scheduler,
    offer: Callable[[int], Awaitable[bool]],
    link_mbps: float,
) -> None:
    """Offers the leadership whenever the policy says so, until cancelled.

    Args:
        election: This instance's part in the election.
        scheduler: The scheduler of the leader.
        offer: Offers the leadership of an epoch to the preferred candidates;
            returns whether one took it over.
        link_mbps: Rate of the link of this instance in Mbit/s; 0 if unknown.
    """
    policy = TransferPolicy(clock.now_s())
    meter = link_meter.LinkMeter(link_mbps)
    while True:
        await asyncio.sleep(_CHECK_S)
        share = scheduler.worker_tracker.unreachable_share()
        link_share = meter.share(
            clock.now_s(),
            client.Connection.received_bytes,
            client.Connection.sent_bytes,
        )
        cause = policy.find_cause(
            clock.now_s(), scheduler.is_recovered, share, link_share
        )
        if not cause or election.is_preferred:
            continue
        epoch = scheduler.worker_tracker.epoch
        # Logged first: this task is cancelled once another instance is elected.
        _log.warning(
            "leadership_offered",
            epoch=epoch,
            is_recovered=scheduler.is_recovered,
            unreachable_share=round(share, 3),
            link_share=round(link_share, 3),
            cause=cause,
        )
        if await offer(epoch):
            scheduler.end_leadership()
            return
        _log.warning("offer_not_accepted", epoch=epoch)
        policy.record_declined(clock.now_s())
