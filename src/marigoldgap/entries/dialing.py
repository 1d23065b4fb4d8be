"""Chooses the instances to which this instance opens connections."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.entries import interfaces
from marigoldgap.entries import membership as membership_module
from marigoldgap.settings import model as settings_model

_LEAVING = "leaving"


class Target(NamedTuple):
    """A connection to open.

    Attributes:
        instance_id: Id of the instance; empty if only the address is known.
        address: `ip:port`; empty if the instance list has to be consulted.
    """

    instance_id: str
    address: str


class DialPlan:
    """Selects targets from the instance list and the configured seeds.

    Within the zone, the instance with the lower id opens the connection, so
    that each pair of instances has one. Only the coordinator opens
    connections to other zones.

    Args:
        settings: Settings of this instance.
        instances: The platform's list of instances.
        members: Known instances and their terms.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        instances: interfaces.InstanceList,
        members: membership_module.Membership,
    ) -> None:
        self._settings = settings
        self._instances = instances
        self._members = members

    def targets(self) -> frozenset[Target]:
        """Returns the current targets."""
        own_id = self._settings.instance_id
        own_zone = self._settings.zone
        found = {
            Target("", seed)
            for seed in self._settings.peers.seeds
            if seed != self._settings.peer_address
        }
        for entry in self._instances.entries(own_zone):
            if entry.instance_id > own_id:
                found.add(Target(entry.instance_id, ""))
        if self._members.is_coordinator:
            found.update(self._other_zones())
        return frozenset(found)

    def address_of(self, instance_id: str) -> str | None:
        """Returns the peer address of an instance; None if it is not listed."""
        for entry in self._instances.entries():
            if entry.instance_id == instance_id:
                return entry.peer_address
        return None

    def _other_zones(self) -> set[Target]:
        """Returns the presumed coordinator of each other zone."""
        zones: dict[str, list[str]] = {}
        for entry in self._instances.entries():
            if entry.zone == self._settings.zone or entry.state == _LEAVING:
                continue
            zones.setdefault(entry.zone, []).append(entry.instance_id)
        return {
            Target(self._coordinator_of(zone, sorted(ids)), "")
            for zone, ids in zones.items()
        }

    def _coordinator_of(self, zone: str, candidates: list[str]) -> str:
        """Returns the presumed coordinator of another zone.

        This is the owner of the highest term that its live instances report.
        If there is none or it is dead, it is the first candidate that is not
        dead, else the first candidate.
        """
        terms = [
            peer.term
            for peer in self._members.peers()
            if peer.zone == zone and peer.alive and peer.term.counter
        ]
        if terms:
            named = max(terms).instance_id
            known = self._members.peer(named)
            if known is None or known.state != "dead":
                return named
        for candidate in candidates:
            known = self._members.peer(candidate)
            if known is None or known.state != "dead":
                return candidate
        return candidates[0]
