"""Forwards the reports of one worker, each change once."""

from __future__ import annotations

from collections.abc import Sequence

from marigoldgap import logs
from marigoldgap.workers import model

_logger = logs.PartLogger("workers")


class ReportRelay:
    """Tracks the incarnation of a worker and the last change it reported.

    Args:
        worker_id: The worker.
        listener: Receives the reports.
    """

    def __init__(self, worker_id: str, listener: model.FleetListener) -> None:
        self._worker_id = worker_id
        self._listener = listener
        self._incarnation = ""
        self._seq = 0

    @property
    def seq(self) -> int:
        """Sequence number of the last change that was forwarded."""
        return self._seq

    def is_current(self, incarnation: str) -> bool:
        """Returns whether an answer comes from the current incarnation."""
        return incarnation == self._incarnation

    def record_incarnation(self, incarnation: str) -> bool:
        """Records the incarnation that answered and reports a restart.

        Returns:
            Whether changes that were requested with `seq` belong to this
            incarnation; sequence numbers restart with the worker.
        """
        if self.is_current(incarnation):
            return True
        is_first = not self._incarnation
        self._incarnation = incarnation
        if is_first:
            return True
        self._seq = 0
        _logger.warning("worker %s has restarted", self._worker_id)
        self._listener.worker_restarted(self._worker_id)
        return False

    def forward_changes(
        self, seq: int, changes: Sequence[model.TaskChange]
    ) -> None:
        """Forwards changes up to a sequence number."""
        self._seq = max(self._seq, seq)
        for change in changes:
            self._listener.task_changed(change)

    def forward_usage(self, usage: Sequence[model.TaskUsage]) -> None:
        """Forwards measured usage."""
        for measured in usage:
            self._listener.usage_reported(measured)
