"""Tells jobs within a workspace's fair rate from those beyond it."""

from __future__ import annotations

from marigoldgap.cell import model

# Bursts up to this many seconds of the rate count as within it.
_BURST_S = 5.0


class FairRates:
    """A token bucket for each workspace."""

    def __init__(self) -> None:
        self._buckets: dict[str, tuple[float, float]] = {}

    def is_over(self, workspace: model.Workspace, accepted_s: float) -> bool:
        """Counts a job; returns whether it is beyond the fair rate.

        Args:
            workspace: Its workspace.
            accepted_s: Wall time of its acceptance. Clocks of instances
                differ; an earlier time than the latest one counts as that.
        """
        most = max(1.0, workspace.jobs_per_s * _BURST_S)
        tokens, since = self._buckets.get(workspace.name, (most, accepted_s))
        now = max(since, accepted_s)
        tokens = min(most, tokens + (now - since) * workspace.jobs_per_s)
        if tokens < 1:
            self._buckets[workspace.name] = (tokens, now)
            return True
        self._buckets[workspace.name] = (tokens - 1, now)
        return False
