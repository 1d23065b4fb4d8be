"""Offers the leadership of this instance to the other instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigoldgap import errors
from marigoldgap.cell import candidacy
from marigoldgap.cell import scheduler as schedulers
from marigoldgap.node import instance_registry

# Claim delays of the rounds in which leadership is offered. In each round only
# instances with at most this claim delay may accept, so that the best placed
# ones come first.
_MAX_CLAIM_DELAYS_S = (0.1, 0.25, 10.0)
# Instances that are asked to take over at the same time.
_CONCURRENT_OFFERS = 4


class TakeoverOffers:
    """Asks other instances to take the leadership over.

    Args:
        scheduler: Returns the scheduler while this instance is the leader.
        instances: The other instances.
    """

    def __init__(
        self,
        scheduler: Callable[[], schedulers.Scheduler | None],
        instances: instance_registry.InstanceList,
    ) -> None:
        self._scheduler = scheduler
        self._instances = instances

    async def offer_to_preferred(self, epoch: int) -> bool:
        """Asks the preferred candidates to take over; see `offer`."""
        return await self.offer(epoch, (candidacy.PREFERRED_MAX_DELAY_S,))

    async def offer(
        self, epoch: int, max_delays_s: tuple[float, ...] = _MAX_CLAIM_DELAYS_S
    ) -> bool:
        """Asks the other instances to take over, the best placed first.

        This leader sends no starts meanwhile, nor after an instance did not
        answer, which may be the leader: only a confirmation by the store shows
        that it is not.

        Args:
            epoch: Epoch of the leadership that ends.
            max_delays_s: Longest claim delay, in seconds, of the instances that
                may accept, for each round.

        Returns:
            Whether one of them accepted.
        """
        scheduler = self._scheduler()
        has_stopped = False
        is_certain = True
        if scheduler is not None:
            # An instance may have taken an earlier offer without an answer.
            is_certain = not scheduler.authority.is_suspended
            scheduler.authority.suspend_starts()
            has_stopped = scheduler.is_obeyed
        candidates = self._instances.peers
        for max_delay_s in max_delays_s:
            for first in range(0, len(candidates), _CONCURRENT_OFFERS):
                answers = await asyncio.gather(
                    *(
                        peer.take_over(epoch, max_delay_s, has_stopped)
                        for peer in candidates[
                            first : first + _CONCURRENT_OFFERS
                        ]
                    ),
                    return_exceptions=True,
                )
                if any(answer is True for answer in answers):
                    return True
                if not all(map(_has_declined, answers)):
                    is_certain = False
        if scheduler is not None and is_certain:
            scheduler.authority.resume_starts()
        return False


def _has_declined(answer: bool | BaseException) -> bool:
    """Returns whether an instance has certainly not taken the leadership over."""
    if isinstance(answer, errors.MarigoldgapError):
        return answer.ran is errors.Ran.NO
    return answer is False
