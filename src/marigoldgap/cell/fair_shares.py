"""Recent use of the cell by each workspace, relative to its weight.

Designed for some hundred workspaces; an update takes time in proportion to
those that have used something recently. The result only orders work: what one
workspace does not use is free for the others, and upper limits are checked
when tasks are placed.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from marigoldgap.cell import model

# Time after which past use counts half: as long as the bursts that count as
# within a fair rate.
HALF_LIFE_S = 5.0
# Use beyond this multiple of its part of the cell puts a workspace on level 1,
# and each doubling on a higher one. In trials, levels relative to the average
# use alone let a workspace keep twice as much as the others.
_FIRST_LEVEL_FROM = 1.0
# A workspace has level 0 up to this multiple of the average use by weight. If
# all are above their parts, levels would only disturb the order by deadline: in
# trials without this bound, a cell needed 5 to 7 s instead of 3 to 4 s after a
# burst of all workspaces (60 workers, seeds 1 and 2).
_MIN_OF_AVERAGE = 1.2
_MAX_LEVEL = 3
# A workspace keeps its level above this share of the use that led to it.
# Otherwise random arrivals move it up and down with each plan.
_KEPT_ABOVE = 0.8
# Shares below this are dropped, as they do not affect any level.
_MIN_SHARE = 1e-6


class FairShares:
    """Averages the dominant share of each workspace over the last seconds."""

    def __init__(self) -> None:
        # Averaged share of each resource by workspace.
        self._shares: dict[str, list[float]] = {}
        self._updated_s: float | None = None
        self._levels: dict[str, int] = {}

    def update(
        self,
        usage: Mapping[str, Sequence[int]],
        total: Sequence[int],
        workspaces: Mapping[str, model.Workspace],
        now: float,
    ) -> None:
        """Adds the present use and computes the levels.

        The first use counts as the average, since nothing is known before it.

        Args:
            usage: Resources in use by workspace.
            total: Resources of all workers.
            workspaces: Workspaces with their rates, by name.
            now: Current monotonic time in seconds.
        """
        elapsed_s = float("inf")
        if self._updated_s is not None:
            elapsed_s = max(0.0, now - self._updated_s)
        self._updated_s = now
        kept = 0.5 ** (elapsed_s / HALF_LIFE_S)
        for name in self._shares.keys() | usage.keys():
            used = usage.get(name, (0, 0, 0))
            former = self._shares.get(name, [0.0, 0.0, 0.0])
            shares = [
                kept * share + (1 - kept) * amount / most if most else 0.0
                for share, amount, most in zip(former, used, total, strict=True)
            ]
            if max(shares) < _MIN_SHARE:
                self._shares.pop(name, None)
            else:
                self._shares[name] = shares
        self._levels = self._computed_levels(workspaces)

    def level(self, workspace: str) -> int:
        """Returns how far a workspace is above its share; 0 is planned first.

        Callers without a workspace, and workspaces without a rate, have no
        share to compare with and get 0.
        """
        return self._levels.get(workspace, 0)

    def _computed_levels(
        self, workspaces: Mapping[str, model.Workspace]
    ) -> dict[str, int]:
        total = sum(each.jobs_per_s for each in workspaces.values())
        dominant = {
            name: max(shares)
            for name, shares in self._shares.items()
            if name in workspaces and workspaces[name].jobs_per_s > 0
        }
        weight = sum(workspaces[name].jobs_per_s for name in dominant)
        average = sum(dominant.values()) / weight if weight else 0.0
        levels = {}
        for name, share in dominant.items():
            by_weight = share / workspaces[name].jobs_per_s
            if by_weight <= _MIN_OF_AVERAGE * average:
                continue
            relative = by_weight * total
            lowest = _level(relative)
            highest = _level(relative / _KEPT_ABOVE)
            level = min(max(self._levels.get(name, 0), lowest), highest)
            if level:
                levels[name] = level
        return levels


def _level(relative: float) -> int:
    """Returns the level of a use relative to the part of the cell."""
    level, bound = 0, _FIRST_LEVEL_FROM
    while relative > bound and level < _MAX_LEVEL:
        level, bound = level + 1, 2 * bound
    return level
