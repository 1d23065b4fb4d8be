"""What the rules need from other packages."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class TargetFunction(Protocol):
    """Divides a capacity; `scheduling.shares.max_min_targets` decides so."""

    def __call__(
        self,
        capacity: float,
        shares: Mapping[str, float],
        demands: Mapping[str, float],
    ) -> Mapping[str, float]:
        """Returns how much each team gets when all its demand is waiting."""
