"""Waits until the workers have accepted the fencing token of a new leader.

Until then, the former leader may still start runs of jobs that this leader
would start as well. A worker that does not answer within the limit is taken to
answer no other instance either.
"""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap import decision_log

_log = decision_log.DecisionLogger("workers")

# Time within which workers accept the fencing token of a new leader: covers a
# connection and a lease renewal across regions, with one lost packet.
_LIMIT_S = 1.3
# Interval of the checks of the limit.
_CHECK_S = 0.1
# A check that is later by more than this shows that this process was paused:
# it could read no answer of a worker meanwhile.
_MAX_LATENESS_S = 0.3


class Fencing:
    """Tracks the workers that have not accepted the fencing token yet.

    Args:
        is_former_inactive: Whether no former leader can start anything any
            more, so that nothing has to be awaited.
    """

    def __init__(self, is_former_inactive: bool) -> None:
        self._is_over = is_former_inactive
        self._awaited: set[str] = set()
        self._began_s = clock.now_s()

    @property
    def is_pending(self) -> bool:
        """Whether the former leader may still start runs on some worker."""
        return not self._is_over and bool(self._awaited)

    def expect(self, worker_id: str) -> None:
        """Adds a worker that may have runs of earlier elections.

        The limit starts when the last worker is added.
        """
        self._awaited.add(worker_id)
        self._began_s = clock.now_s()

    def settle(self, worker_id: str) -> None:
        """Removes a worker that has accepted the token or is gone."""
        self._awaited.discard(worker_id)

    async def run(self) -> None:
        """Ends the wait at the limit, which starts again after a pause."""
        while not self._is_over:
            due_s = clock.now_s() + _CHECK_S
            await asyncio.sleep(_CHECK_S)
            now = clock.now_s()
            if now > due_s + _MAX_LATENESS_S:
                _log.info("fencing_restarted", paused_s=round(now - due_s, 3))
                self._began_s = now
            elif now > self._began_s + _LIMIT_S:
                self._is_over = True
