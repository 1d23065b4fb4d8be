"""Deployments that the load tool builds, with the sizes of section 1.5."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap import errors

WORKERS_PER_RACK = 8
_CORES = 16_000
_MEMORY_MIB = 65_536


class Capacity(NamedTuple):
    """Capacity of one worker."""

    slots: int = 8
    connections: int = 64
    millicores: int = _CORES
    memory_mib: int = _MEMORY_MIB
    accelerators: int = 0


class Zone(NamedTuple):
    """An availability zone with its numbers of entry instances and workers."""

    name: str
    region: str
    entries: int
    workers: int


class Team(NamedTuple):
    """A team with its share and its limit of running tasks."""

    name: str
    share: float
    limit: int


class Queues(NamedTuple):
    """Name of the queue for each kind of work."""

    lookup: str
    open_lookup: str
    filing: str
    batch: str
    gang: str
    service: str


class Network(NamedTuple):
    """Latencies of the network and bandwidth of the link between regions.

    Attributes:
        zone_delay_ms: One-way latency between zones of one region.
        region_delay_ms: One-way latency between regions.
        region_rate_mbit: Bandwidth between regions in each direction, Mbit/s.
        client_delay_ms: One-way latency between callers and the balancer.
    """

    zone_delay_ms: float = 1
    region_delay_ms: float = 20
    region_rate_mbit: float = 15
    client_delay_ms: float = 3


class Layout(NamedTuple):
    """One deployment.

    Attributes:
        service: Service that the workers provide.
        store_region: Region of the platform's services.
        open_team: Team that work in open queues counts for.
    """

    name: str
    service: str
    zones: tuple[Zone, ...]
    store_region: str
    teams: tuple[Team, ...]
    queues: Queues
    open_team: str
    capacity: Capacity = Capacity()
    network: Network = Network()

    @property
    def worker_count(self) -> int:
        """Total number of workers."""
        return sum(zone.workers for zone in self.zones)

    @property
    def slots(self) -> int:
        """Total number of slots."""
        return self.worker_count * self.capacity.slots

    @property
    def keyed_teams(self) -> tuple[Team, ...]:
        """Teams whose callers authenticate with keys."""
        return tuple(team for team in self.teams if team.name != self.open_team)


QUETZAL = Layout(
    name="quetzal",
    service="claims-engine",
    zones=(
        Zone("centro-a", "centro", 3, 8),
        Zone("centro-b", "centro", 2, 8),
        Zone("occidente-a", "occidente", 2, 8),
    ),
    store_region="centro",
    teams=(
        Team("claims", 40, 110),
        Team("eligibility", 25, 80),
        Team("status-desk", 15, 50),
        Team("appeals", 8, 30),
        Team("archive", 7, 30),
        Team("public", 5, 20),
    ),
    queues=Queues(
        "status", "walk-in", "filing", "bundles", "hearings", "monitors"
    ),
    open_team="public",
)

CORDERO = Layout(
    name="cordero",
    service="agenda-mediacion",
    zones=(
        Zone("quito-norte", "sierra", 3, 8),
        Zone("cuenca", "sierra", 2, 8),
        Zone("guayaquil-centro", "costa", 2, 8),
    ),
    store_region="sierra",
    teams=(
        Team("nightly", 30, 120),
        Team("norte", 20, 60),
        Team("sur", 20, 60),
        Team("costa", 15, 50),
        Team("familia", 10, 40),
        Team("public", 5, 20),
    ),
    queues=Queues(
        "confirmations", "walk-in", "bookings", "build", "rooms", "feeds"
    ),
    open_team="public",
)

_SMALL_TEAMS = (
    Team("claims", 60, 12),
    Team("appeals", 30, 8),
    Team("public", 10, 6),
)

SMALL = QUETZAL._replace(
    name="small",
    zones=(
        Zone("centro-a", "centro", 2, 2),
        Zone("occidente-a", "occidente", 1, 2),
    ),
    teams=_SMALL_TEAMS,
)

SINGLE = QUETZAL._replace(
    name="single",
    zones=(Zone("centro-a", "centro", 1, 2),),
    teams=_SMALL_TEAMS,
)

LAYOUTS = {layout.name: layout for layout in (QUETZAL, CORDERO, SMALL, SINGLE)}


class UnknownLayoutError(errors.MarigoldgapError):
    """The requested layout does not exist."""

    code = "unknown-layout"


def find(name: str) -> Layout:
    """Returns a layout by name.

    Raises:
        UnknownLayoutError: There is no layout of this name.
    """
    if name not in LAYOUTS:
        known = ", ".join(LAYOUTS)
        raise UnknownLayoutError(
            f"unknown layout {name!r}; known layouts: {known}"
        )
    return LAYOUTS[name]


def rules_text(layout: Layout) -> str:
    """Returns the text of the first rules of a layout."""
    asked = "# asked by the load tool"
    lines = [
        f"team {team.name} share {team.share:g} limit {team.limit}  {asked}"
        for team in layout.teams
    ]
    kinds = Queues("quick", "quick", "quick", "batch", "gang", "service")
    for use, name, kind in zip(
        Queues._fields, layout.queues, kinds, strict=True
    ):
        access = "keyed"
        if use == "open_lookup":
            access = f"open team {layout.open_team}"
        lines.append(
            f"queue {name} kind {kind} service {layout.service} {access}"
            f"  {asked}"
        )
    lines.append(f"retry attempts 3 budget 10%  {asked}")
    lines.append(f"quarantine after 5 probe 30s  {asked}")
    zones = " ".join(zone.name for zone in layout.zones)
    lines.append(f"zones prefer {zones}  {asked}")
    return "\n".join(lines) + "\n"
