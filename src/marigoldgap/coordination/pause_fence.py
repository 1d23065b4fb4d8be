"""Fences a process that was paused, before it acts again.

A coordinator or worker owner may have been replaced if it was paused for almost
as long as the failure timeout of its peers. It must not start work before it
has acknowledged the current term again; see the term barrier.
"""

from __future__ import annotations

from marigoldgap.settings import model as settings_model


class PauseFence:
    """Detects pauses as gaps between the calls of a periodic task.

    Args:
        settings: Settings of this instance.
        now_ms: Monotonic time.
    """

    def __init__(self, settings: settings_model.Settings, now_ms: int) -> None:
        peers = settings.peers
        self._pause_limit_ms = max(1, peers.dead_after_ms - peers.heartbeat_ms)
        self._last_tick_ms = now_ms
        self._fenced = False

    def is_open(self, now_ms: int) -> bool:
        """Whether work may start; detects a pause since the last tick."""
        if now_ms - self._last_tick_ms >= self._pause_limit_ms:
            self._fenced = True
        return not self._fenced

    def record_tick(self, now_ms: int) -> bool:
        """Records a tick; returns whether it detected a new pause."""
        was_open = not self._fenced
        still_open = self.is_open(now_ms)
        self._last_tick_ms = now_ms
        return was_open and not still_open

    def reopen(self) -> None:
        """Allows work again once the current term is acknowledged."""
        self._fenced = False
