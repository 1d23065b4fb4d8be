"""Classifies jobs as within or above the fair rate of their workspace."""

from __future__ import annotations

from marigoldgap.cell import model

# Bursts of up to this many seconds of the rate count as within it.
BURST_S = 5.0


class FairRates:
    """A token bucket for each workspace."""

    def __init__(self) -> None:
        self._buckets: dict[str, tuple[float, float]] = {}

    def count_job(self, workspace: model.Workspace, accepted_s: float) -> bool:
        """Counts a job and returns whether it is above the fair rate.

        Args:
            workspace: Workspace of the job.
            accepted_s: Wall time in seconds at which the job was accepted.
                The clocks of instances differ, so a time before the latest
                one counts as the latest one.
        """
        most = max(1.0, workspace.jobs_per_s * BURST_S)
        tokens, since = self._buckets.get(workspace.name, (most, accepted_s))
        now = max(since, accepted_s)
        tokens = min(most, tokens + (now - since) * workspace.jobs_per_s)
        if tokens < 1:
            self._buckets[workspace.name] = (tokens, now)
            return True
        self._buckets[workspace.name] = (tokens - 1, now)
        return False
