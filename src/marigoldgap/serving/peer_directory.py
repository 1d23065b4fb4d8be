"""Entry instances that a request can be forwarded to."""

from __future__ import annotations

from collections.abc import Sequence

from marigoldgap.dispatch import interfaces
from marigoldgap.dispatch import model as dispatch_model
from marigoldgap.entries import membership as membership_module
from marigoldgap.entries import peer as peer_module
from marigoldgap.table_service import instances as table_service_instances


class PeerDirectory:
    """Lists forwarding targets; a `dispatch.interfaces.PeerDirectory`.

    Args:
        membership: Live instances with the load of their last heartbeat.
        instances: The platform's instance list, which has their addresses.
    """

    def __init__(
        self,
        membership: membership_module.Membership,
        instances: table_service_instances.InstanceList,
    ) -> None:
        self._membership = membership
        self._instances = instances

    def peers(self) -> Sequence[interfaces.PeerLoad]:
        """Returns the live instances other than this one."""
        loads = (self._peer_load(peer) for peer in self._membership.peers())
        return [load for load in loads if load is not None]

    def _peer_load(self, peer: peer_module.Peer) -> interfaces.PeerLoad | None:
        """Returns the load of a peer, None if it is dead or not listed."""
        if not peer.alive:
            return None
        listed = self._instances.find(peer.instance_id)
        if listed is None:
            return None
        return interfaces.PeerLoad(
            instance_id=peer.instance_id,
            address=listed.address,
            zone=peer.zone,
            region=listed.region,
            draining=peer.state == peer_module.DRAINING,
            load=dispatch_model.EntryLoad(
                peer.free, peer.waiting, peer.running
            ),
        )
