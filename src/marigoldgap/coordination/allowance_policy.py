"""Decides how many units of a team's limit a zone should have (no I/O)."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

# Share of its allowance that a zone keeps unused for new tasks when it frees
# units for other zones.
_HEADROOM_SHARE = 0.1


class ZoneDemand(NamedTuple):
    """Allowance and demand of a team in one zone, in units.

    Attributes:
        allowance: Units of the team's limit that the zone has.
        in_use: Units that instances hold or that running tasks use.
        waiting: Tasks that wait because no unit is free.
    """

    allowance: int
    in_use: int
    waiting: int


def even_part(limit: int, zone: str, zones: Sequence[str]) -> int:
    """Returns the zone's part of a limit that is split evenly.

    The remainder goes to the first zones in the order of their names.
    """
    ordered = sorted({*zones, zone})
    part, remainder = divmod(limit, len(ordered))
    return part + (1 if ordered.index(zone) < remainder else 0)


def wanted_allowance(limit: int, even: int, own: ZoneDemand) -> int:
    """Returns the allowance to request; the row may allow less."""
    return min(limit, max(even, own.in_use + own.waiting))


def rebalancing_target(
    limit: int,
    zone: str,
    own: ZoneDemand,
    others: Mapping[str, ZoneDemand],
) -> int | None:
    """Returns the lower allowance that frees units for other zones, or None.

    Unused units go to any zone with waiting tasks. Units in use go only from
    a zone above its even part to one below, so that the zone that came first
    cannot keep the whole limit. A zone frees at most half of the units
    that it can spare, so that two zones that do so at the same time do not
    free too many.
    """
    waiting = sum(other.waiting for other in others.values())
    if not waiting or own.allowance <= 0:
        return None
    zones = [zone, *others]
    even = even_part(limit, zone, zones)
    headroom = max(1, int(own.allowance * _HEADROOM_SHARE))
    unused = own.allowance - own.in_use - own.waiting - headroom
    starved = sum(
        min(other.waiting, even_part(limit, name, zones) - other.allowance)
        for name, other in others.items()
        if other.allowance < even_part(limit, name, zones)
    )
    surplus = min(max(0, own.allowance - even), starved)
    spare = max(min(unused, waiting), surplus)
    if spare <= 0:
        return None
    return own.allowance - (spare + 1) // 2
