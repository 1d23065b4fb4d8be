"""Selects the workers of the zone that this instance should own."""

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

_REVIEW_INTERVAL_MS = 250


class OwnershipTask:
    """Derives candidate workers from the membership and the instance list.

    The result is a proposal only: the lease that a worker grants decides
    which instance owns it.

    Args:
        settings: Settings of this instance.
        membership: The live instances of the zone.
        instances: The platform's instance list.
        fleet: Acquires and hands over the leases.
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
        self._last_inputs: tuple[object, object] = ((), ())

    async def run(self) -> None:
        """Updates the candidates every 250 ms; never ends."""
        while True:
            self.review()
            await asyncio.sleep(
                _REVIEW_INTERVAL_MS / clock.MILLISECONDS_PER_SECOND
            )

    def review(self) -> None:
        """Sets the candidates if the owners or the listed workers changed."""
        owners = self._owners()
        listed = self._instances.workers(self._settings.zone)
        if (owners, listed) == self._last_inputs:
            return
        self._last_inputs = (owners, listed)
        own_id = self._settings.instance_id
        candidates = [
            _worker_info(entry)
            for entry in listed
            if rendezvous.rendezvous_owner(entry.instance_id, owners) == own_id
        ]
        self._fleet.set_candidates(candidates)

    def _owners(self) -> tuple[str, ...]:
        """Returns the live instances of the zone that are not draining."""
        peers = self._membership.peers()
        draining = {
            peer.instance_id
            for peer in peers
            if peer.state == peer_module.DRAINING
        }
        members = self._membership.members
        return tuple(member for member in members if member not in draining)


def _worker_info(entry: table_service_model.InstanceEntry) -> model.WorkerInfo:
    """Returns the listed data; the lease response adds the capacity."""
    return model.WorkerInfo(
        worker_id=entry.instance_id,
        zone=entry.zone,
        rack=entry.rack,
        address=entry.address,
        service=entry.service,
        capacity=model.Resources(0, 0),
        leaving=entry.state == "leaving",
    )
