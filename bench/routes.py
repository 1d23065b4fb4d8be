"""Routes between zones and to the platform, each through a link relay."""

from __future__ import annotations

from typing import Any

from bench import layouts
from bench import ports

PLATFORM = "platform"


class Routes:
    """Assigns a relay to each route, with its latency and bandwidth.

    Args:
        layout: Zones, regions and the network between them.
        free_ports: Source of the relays' addresses.
    """

    def __init__(self, layout: layouts.Layout, free_ports: ports.Ports) -> None:
        self._layout = layout
        self._ports = free_ports
        self._routes: list[dict[str, str]] = []
        self._directions: dict[str, dict[str, float]] = {}

    def add(
        self, source: str, destination: str, target: str, purpose: str
    ) -> str:
        """Adds a relay and returns its address for the source.

        Args:
            source: Zone of the sender.
            destination: Zone of the target, or `PLATFORM`.
            target: Address of the target.
            purpose: Name under which the link counts the bytes.
        """
        listen = self._ports.take()
        self._routes.append(
            {
                "listen": listen,
                "target": target,
                "purpose": purpose,
                "path": self.path_name(source, destination),
                "forward": self._direction(source, destination),
                "backward": self._direction(destination, source),
            }
        )
        return listen

    def path_name(self, one: str, other: str) -> str:
        """Returns the name of the path between two places, for a cut."""
        return "|".join(sorted((one, other)))

    def plan(self) -> dict[str, Any]:
        """Returns the content of the link's configuration file."""
        return {"directions": self._directions, "routes": self._routes}

    def region(self, place: str) -> str:
        """Returns the region of a zone or of the platform."""
        if place == PLATFORM:
            return self._layout.store_region
        return next(
            zone.region for zone in self._layout.zones if zone.name == place
        )

    def region_directions(self) -> list[str]:
        """Returns the names of all directions between regions."""
        return [
            name
            for name, fields in self._directions.items()
            if fields["rate_mbit"]
        ]

    def _direction(self, source: str, destination: str) -> str:
        """Adds the direction of a route and returns its name.

        All routes from one region to another share one direction.
        """
        regions = self.region(source), self.region(destination)
        network = self._layout.network
        if regions[0] != regions[1]:
            name = f"{regions[0]}>{regions[1]}"
            self._directions[name] = {
                "delay_ms": network.region_delay_ms,
                "rate_mbit": network.region_rate_mbit,
            }
            return name
        name = f"{source}>{destination}"
        self._directions[name] = {
            "delay_ms": network.zone_delay_ms,
            "rate_mbit": 0,
        }
        return name
