"""Settings of a serving process."""

from __future__ import annotations

from typing import NamedTuple


class NodeSettings(NamedTuple):
    """Addresses, limits and times of a serving process.

    Attributes:
        name: Name of the instance.
        zone: Availability zone.
        callers_address: `ip:port` for callers.
        readiness_address: `ip:port` for readiness probes.
        peers_address: `ip:port` for calls of the other instances.
        metrics_address: `ip:port` of the metrics endpoint.
        cores: Processor cores that the process may use.
        link_mbps: Rate of the link of the instance in Mbit/s; 0 if unknown.
        store_address: `ip:port` of the store.
        advice_address: `ip:port` of the advice service; empty if none.
        shutdown_s: Seconds from the request to stop until the process is
            killed.
        withdrawal_s: Seconds within which a withdrawn key must stop working; 0
            if keys may be used without confirmation.
        job_retention_s: Seconds for which ended jobs are stored.
        configuration_apply_s: Seconds within which a change of the configuration
            must be in force.
        memory_mb: Memory of the process in MB; 0 if unknown.
        max_fds: File descriptors that the process may open; 0 if unknown.
    """

    name: str
    zone: str
    callers_address: str
    readiness_address: str
    peers_address: str
    metrics_address: str
    cores: float
    link_mbps: float
    store_address: str
    advice_address: str
    shutdown_s: float
    withdrawal_s: float
    job_retention_s: float
    configuration_apply_s: float = 2.5
    memory_mb: float = 0.0
    max_fds: int = 0
