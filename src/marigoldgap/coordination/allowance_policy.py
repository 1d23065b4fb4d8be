"""How many units of a team's limit a zone should have; pure decisions."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

# Unused units that a zone keeps for its next tasks when it gives some up.
_HEADROOM_SHARE = 0.1


class ZoneDemand(NamedTuple):
    """What one zone has and needs of a team, in tasks.

    Attributes:
        in_use: Units held or running.
        waiting: Tasks that wait because no unit is free.
    """

    allowance: int
    in_use: int
    waiting: int


def even_part(limit: int, zone: str, zones: Sequence[str]) -> int:
    """Returns the zone's part if the limit is split evenly.

    The first zones in order of their names get the remainder.
    """
    ordered = sorted({*zones, zone})
    part, remainder = divmod(limit, len(ordered))
    return part + (1 if ordered.index(zone) < remainder else 0)


def wanted_allowance(limit: int, even: int, own: ZoneDemand) -> int:
    """Returns the allowance to ask for; the row decides what there is."""
    return min(limit, max(even, own.in_use + own.waiting))


def give_up_target(
    limit: int,
    zone: str,
    own: ZoneDemand,
    others: Mapping[str, ZoneDemand],
) -> int | None:
    """Returns the allowance to give up to for other zones, or None.

    Unused units go to any zone in which tasks wait. Units in use go only to
    a zone that has less than an even part, from one that has more, so that
    the zone that came first does not keep a limit for itself. A zone gives
    up at most half of what it can, so that two givers do not overshoot.
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
