"""Interfaces of other packages that the rules use."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class TargetFunction(Protocol):
    """Divides a capacity among teams.

    The scheduler uses `scheduling.shares.max_min_targets`.
    """

    def __call__(
        self,
        capacity: float,
        shares: Mapping[str, float],
        demands: Mapping[str, float],
    ) -> Mapping[str, float]:
        """Returns the target of each team if all of its demand is waiting."""
