"""Tasks of a gang are packed tightly; the planner reserves them together."""

from __future__ import annotations

from marigoldgap.scheduling.policies import batch
from marigoldgap.scheduling.policies import registry


@registry.placement_policy("gang")
class GangPolicy(batch.BatchPolicy):
    """Places each task of a reserved gang like a batch task."""
