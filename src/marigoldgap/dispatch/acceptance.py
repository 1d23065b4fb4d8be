"""Why a worker gets no new work for a while."""

from __future__ import annotations

import asyncio

from marigoldgap import errors
from marigoldgap.scheduling import free_index

# A worker that refused or was unreachable gets no work for this time, so that
# it does not take in one request after the other.
SUSPECT_S = 1.0
_LEAVING = "leaving"
_STOPPED = "stopped"


class AcceptanceGate:
    """Combines the reasons against new work on each worker.

    Args:
        index: Is told whether a worker accepts work.
    """

    def __init__(self, index: free_index.FreeIndex) -> None:
        self._index = index
        self._suspects: dict[str, asyncio.TimerHandle] = {}
        self._quarantined: set[str] = set()

    def note_refusal(
        self, worker_id: str, error: errors.MarigoldgapError
    ) -> None:
        """Notes that a start on the worker was refused or not sent."""
        reason = getattr(error, "reason", "")
        if reason == _STOPPED:
            return
        if reason == _LEAVING:
            self._index.mark_leaving(worker_id)
            return
        self._clear(worker_id)
        loop = asyncio.get_running_loop()
        self._suspects[worker_id] = loop.call_later(
            SUSPECT_S, self._accept_again, worker_id
        )
        self._apply(worker_id)

    def set_quarantined(self, worker_id: str, quarantined: bool) -> None:
        """Stops or allows new work because of failing tasks."""
        if quarantined:
            self._quarantined.add(worker_id)
        else:
            self._quarantined.discard(worker_id)
        self._apply(worker_id)

    def acquired(self, worker_id: str) -> None:
        """Applies what is known to a worker that was just acquired."""
        self._clear(worker_id)
        self._apply(worker_id)

    def _accept_again(self, worker_id: str) -> None:
        self._clear(worker_id)
        self._apply(worker_id)

    def _clear(self, worker_id: str) -> None:
        timer = self._suspects.pop(worker_id, None)
        if timer is not None:
            timer.cancel()

    def _apply(self, worker_id: str) -> None:
        blocked = worker_id in self._suspects or worker_id in self._quarantined
        self._index.set_accepting(worker_id, not blocked)
