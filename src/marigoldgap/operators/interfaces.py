"""What the operators API needs from other packages."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from marigoldgap.rules import preview


class StatusSource(Protocol):
    """State of this instance and, on a coordinator, of its zone."""

    def status(self) -> Mapping[str, Any]:
        """Returns JSON values by name, e.g. `ready` and `draining`."""

    def situation(self) -> preview.ClusterLoad:
        """Returns the cluster's load, summed over the zone digests."""


class JobExplainer(Protocol):
    """Knows why a job waits or what became of it."""

    async def explain(self, job_id: str) -> Sequence[str]:
        """Returns plain sentences.

        Raises:
            errors.NotFoundError: There is no such job.
        """
