"""Notices that this process was paused, before it acts again.

A coordinator or owner that was paused for nearly as long as the others need
to declare it dead may have been replaced. It must not start work before it
has acknowledged the current term again; see the term barrier.
"""

from __future__ import annotations

from marigoldgap.settings import model as settings_model


class PauseFence:
    """Compares the clock with the last beat of a periodic task.

    Args:
        settings: Settings of this instance.
        now_ms: Monotonic time.
    """

    def __init__(self, settings: settings_model.Settings, now_ms: int) -> None:
        peers = settings.peers
        self._limit_ms = max(1, peers.dead_after_ms - peers.heartbeat_ms)
        self._beat_ms = now_ms
        self._fenced = False

    def is_open(self, now_ms: int) -> bool:
        """Whether work may be started; notes a pause since the last beat."""
        if now_ms - self._beat_ms >= self._limit_ms:
            self._fenced = True
        return not self._fenced

    def beat(self, now_ms: int) -> bool:
        """Records that the process runs; returns whether it was paused."""
        was_open = not self._fenced
        still_open = self.is_open(now_ms)
        self._beat_ms = now_ms
        return was_open and not still_open

    def reopen(self) -> None:
        """Allows work again, after the current term was acknowledged."""
        self._fenced = False
