"""Placement policy of gang tasks, which the gang planner reserves together."""

from __future__ import annotations

from marigoldgap.scheduling.policies import batch
from marigoldgap.scheduling.policies import registry


@registry.placement_policy("gang")
class GangPolicy(batch.BatchPolicy):
    """Places each task of a reserved gang as a batch task."""
