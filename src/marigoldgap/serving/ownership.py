"""Proposes which workers of the zone this instance should own."""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap.entries import membership as membership_module
from marigoldgap.entries import peer as peer_module
from marigoldgap.scheduling import model
from marigoldgap.scheduling import rendezvous
from marigoldgap.settings import model as settings_model
from marigoldgap.table_service import instances as table_service_instances
from marigoldgap.table_service import model as table_service_model
from marigoldgap.workers import fleet as workers_fleet

_REVIEW_MS = 250


class OwnershipTask:
    """Follows membership and the instance list; the worker's lease decides.

    Args:
        settings: Settings of this instance.
        membership: The live instances of the zone.
        instances: The platform's list.
        fleet: Opens and hands over leases.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        membership: membership_module.Membership,
        instances: table_service_instances.InstanceList,
        fleet: workers_fleet.WorkerFleet,
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._instances = instances
        self._fleet = fleet
        self._seen: tuple[object, object] = ((), ())

    async def run(self) -> None:
        """Reviews the proposal several times a second; never ends."""
        while True:
            self.review()
            await asyncio.sleep(_REVIEW_MS / clock.MILLISECONDS_PER_SECOND)

    def review(self) -> None:
        """Passes the proposed workers on if anything has changed."""
        owners = self._owners()
        listed = self._instances.workers(self._settings.zone)
        if (owners, listed) == self._seen:
            return
        self._seen = (owners, listed)
        own_id = self._settings.instance_id
        proposed = [
            _worker_info(entry)
            for entry in listed
            if rendezvous.rendezvous_owner(entry.instance_id, owners) == own_id
        ]
        self._fleet.set_candidates(proposed)

    def _owners(self) -> tuple[str, ...]:
        """Returns the live instances of the zone that are not stopping."""
        peers = self._membership.peers()
        draining = {
            peer.instance_id
            for peer in peers
            if peer.state == peer_module.DRAINING
        }
        members = self._membership.members
        return tuple(each for each in members if each not in draining)


def _worker_info(entry: table_service_model.InstanceEntry) -> model.WorkerInfo:
    """Returns what the list knows; the lease answer adds the capacity."""
    return model.WorkerInfo(
        worker_id=entry.instance_id,
        zone=entry.zone,
        rack=entry.rack,
        address=entry.address,
        service=entry.service,
        capacity=model.Resources(0, 0),
        leaving=entry.state == "leaving",
    )
