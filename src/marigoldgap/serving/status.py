"""Status and load of this instance for the operators API."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

from marigoldgap.coordination import coordination as coordination_module
from marigoldgap.dispatch import builder as dispatch_builder
from marigoldgap.entries import hub as entries_hub
from marigoldgap.rules import preview
from marigoldgap.serving import readiness as readiness_module


class InstanceStatus:
    """Collects status values; an `operators.interfaces.StatusSource`.

    Args:
        readiness: Tells whether the instance accepts work.
        data: The dispatcher and the fleet.
        hub: Links to the other instances, and the membership.
        coordination: Source of the coordinator role, if held.
    """

    def __init__(
        self,
        readiness: readiness_module.Readiness,
        data: dispatch_builder.DataPlane,
        hub: entries_hub.PeerHub,
        coordination: coordination_module.Coordination,
    ) -> None:
        self._readiness = readiness
        self._data = data
        self._hub = hub
        self._coordination = coordination

    def status(self) -> Mapping[str, Any]:
        """Returns the status as JSON values by field name."""
        load = self._data.dispatcher.load()
        membership = self._hub.membership
        role = self._coordination.role
        control = self._data.fleet.control_traffic
        return {
            "ready": not self._readiness.not_ready_reason(),
            "not_ready_reason": self._readiness.not_ready_reason(),
            "draining": self._data.dispatcher.draining,
            "members": list(membership.members),
            "coordinator": membership.term.instance_id,
            "term": membership.term.counter,
            "is_coordinator": role is not None,
            "barrier_passed": role is not None and role.barrier_passed,
            "workers_owned": len(self._data.fleet.owned()),
            "workers_quarantined": sorted(
                self._data.dispatcher.quarantine.workers
            ),
            "free": {name: free._asdict() for name, free in load.free.items()},
            "waiting": dict(load.waiting),
            "running": dict(load.running),
            "peer_bytes_sent": {
                instance_id: sum(traffic.sent.values())
                for instance_id, traffic in self._hub.link_traffic().items()
            },
            "peer_traffic": self._peer_traffic(),
            "worker_control": {
                "exchanges": control.exchanges,
                "bytes_sent": control.bytes_sent,
                "bytes_received": control.bytes_received,
            },
        }

    def cluster_load(self) -> preview.ClusterLoad:
        """Returns the load known to this instance, in tasks.

        Instances of other zones are included only if they are linked to
        this one.
        """
        running: Counter[str] = Counter()
        own = self._data.dispatcher.load()
        running.update(own.running)
        slots = sum(free.slots for free in own.free.values())
        for peer in self._hub.membership.peers():
            if peer.alive:
                running.update(peer.running)
                slots += sum(free.slots for free in peer.free.values())
        capacity = float(slots + running.total())
        return preview.ClusterLoad(capacity, dict(running), {})

    def _peer_traffic(self) -> dict[str, int]:
        """Returns bytes by traffic class, and messages, over all open links."""
        totals: Counter[str] = Counter()
        for link in self._hub.link_traffic().values():
            for kind, size in link.sent.items():
                totals[f"{kind.value}_sent"] += size
            for kind, size in link.received.items():
                totals[f"{kind.value}_received"] += size
            totals["messages_sent"] += link.messages_sent
            totals["messages_received"] += link.messages_received
        return dict(totals)
