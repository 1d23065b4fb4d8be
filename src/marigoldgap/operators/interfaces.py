"""Interfaces of other packages that the operators API uses."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from marigoldgap.rules import preview


class StatusSource(Protocol):
    """Status of this instance and, on a coordinator, of its zone."""

    def status(self) -> Mapping[str, Any]:
        """Returns JSON values by field name, e.g. `ready` and `draining`."""

    def cluster_load(self) -> preview.ClusterLoad:
        """Returns the cluster's load, summed over the zone digests."""


class JobExplainer(Protocol):
    """Explains why a job waits or how it ended."""

    async def explain(self, job_id: str) -> Sequence[str]:
        """Returns sentences that describe the status of a job.

        Raises:
            errors.NotFoundError: No job has this id.
        """
