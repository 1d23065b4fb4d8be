"""Pauses new work on workers that refuse it or are in quarantine."""

from __future__ import annotations

import asyncio

from marigoldgap import errors
from marigoldgap.scheduling import free_index

# A worker that refused a start or was unreachable gets no work for this time.
# It would otherwise attract one request after the other, as it stays free.
REFUSAL_PAUSE_S = 1.0
_LEAVING = "leaving"
_STOPPED = "stopped"


class AcceptanceGate:
    """Decides for each worker whether it accepts new work.

    A worker is blocked while it is in quarantine or for a short time after it
    refused a start.

    Args:
        index: Index of free capacity, which skips the blocked workers.
    """

    def __init__(self, index: free_index.FreeIndex) -> None:
        self._index = index
        self._pauses: dict[str, asyncio.TimerHandle] = {}
        self._quarantined: set[str] = set()

    def handle_refusal(
        self, worker_id: str, error: errors.MarigoldgapError
    ) -> None:
        """Handles a start that the worker refused or that was not sent.

        Args:
            worker_id: The worker.
            error: The refusal. Its `reason` tells whether the worker is leaving,
                or whether the task was stopped, which blocks no other task.
        """
        reason = getattr(error, "reason", "")
        if reason == _STOPPED:
            return
        if reason == _LEAVING:
            self._index.mark_leaving(worker_id)
            return
        self._cancel_pause(worker_id)
        loop = asyncio.get_running_loop()
        self._pauses[worker_id] = loop.call_later(
            REFUSAL_PAUSE_S, self._end_pause, worker_id
        )
        self._update_index(worker_id)

    def set_quarantined(self, worker_id: str, quarantined: bool) -> None:
        """Blocks or allows new work because of the tasks that failed there."""
        if quarantined:
            self._quarantined.add(worker_id)
        else:
            self._quarantined.discard(worker_id)
        self._update_index(worker_id)

    def acquired(self, worker_id: str) -> None:
        """Ends the pause of an acquired worker; a quarantine stays."""
        self._cancel_pause(worker_id)
        self._update_index(worker_id)

    def _end_pause(self, worker_id: str) -> None:
        self._cancel_pause(worker_id)
        self._update_index(worker_id)

    def _cancel_pause(self, worker_id: str) -> None:
        timer = self._pauses.pop(worker_id, None)
        if timer is not None:
            timer.cancel()

    def _update_index(self, worker_id: str) -> None:
        blocked = worker_id in self._pauses or worker_id in self._quarantined
        self._index.set_accepting(worker_id, not blocked)
