"""Network partitions between zones and from the platform."""

from __future__ import annotations

from bench import faults
from bench import routes
from marigoldgap import clock


@faults.fault("zone-cut")
async def zone_cut(context: faults.Context) -> None:
    """Isolates a zone from the other zones and from the platform."""
    zone = _claim_zone(context)
    if not zone:
        return
    others = [
        other.name
        for other in context.target.layout.zones
        if other.name != zone
    ]
    await _cut(context, zone, [*others, routes.PLATFORM])


@faults.fault("platform-cut")
async def platform_cut(context: faults.Context) -> None:
    """Isolates a zone from the platform only."""
    zone = _claim_zone(context)
    if zone:
        await _cut(context, zone, [routes.PLATFORM])


def _claim_zone(context: faults.Context) -> str:
    """Claims the network and returns a random zone.

    Only one zone is cut off at a time, so that no other fault heals a path of
    this cut. The result is empty if the network is already claimed.
    """
    if not context.claim("network"):
        return ""
    return context.random.choice(context.target.layout.zones).name


async def _cut(context: faults.Context, zone: str, others: list[str]) -> None:
    """Cuts a zone off from other places for a random time."""
    context.record(f"cut {zone} from {', '.join(others)}")
    controls = context.target.controls
    paths = [
        context.target.wired.routes.path_name(zone, other) for other in others
    ]
    from_ms = clock.monotonic_ms()
    try:
        await controls.cut(paths)
        await context.pause(3, 25)
    finally:
        await controls.heal(paths)
        context.record_disturbance("cut", zone, from_ms)
        context.release("network")
