"""Limits on what clients of the HTTP servers of a process may hold.

The limits of a process are those of its machine: they are derived from its
memory and its file descriptors, so that clients which use all of them leave the
process enough of both for its own work.
"""

from __future__ import annotations

from typing import NamedTuple

# Memory and descriptors that are assumed if the settings name none: the smallest
# that a deployment has.
DEFAULT_MEMORY_MB = 200
DEFAULT_MAX_FDS = 4_100
# Descriptors that the platform reserves.
RESERVED_FDS = 200
# Connections to workers that a leader needs.
WORKER_FDS = 3_000
# Share of the descriptors for clients if there are too few for all workers.
_SHARE_OF_FEW_FDS = 5
# Share of the memory for unfinished requests and unsent responses. A few hundred
# callers with bodies of 12 kB hold a fifth of it on the smallest machine.
_SHARE_OF_MEMORY = 8
# Size of the buffer of the system for each direction of a connection; the
# system allots twice this. The largest body takes 7 round trips.
SOCKET_BUFFER_BYTES = 32_768
# Memory of the system that each connection can take.
_SYSTEM_BYTES = 4 * SOCKET_BUFFER_BYTES
# Share of the memory for the buffers of the system, if all of them are full.
_SHARE_FOR_SYSTEM = 2
_BYTES_PER_MB = 1_000_000
# Probes and collectors have a few connections for each of their processes.
_READINESS_CONNECTIONS = 32
_METRICS_CONNECTIONS = 16


class HttpLimits(NamedTuple):
    """Size and time limits of requests and connections.

    Attributes:
        header_bytes: Size of the request line and headers.
        body_bytes: Size of the body.
        request_s: Seconds from the first to the last byte of a request.
        idle_s: Seconds that a connection may stay open without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    request_s: float = 3.0
    idle_s: float = 15.0


class ProcessLimits(NamedTuple):
    """What the clients of a process may hold together.

    Attributes:
        held_bytes: Bytes of unfinished requests and unsent responses.
        connections: Connections of all listening addresses.
        callers: Connections of the address for callers.
        readiness: Connections of the address for readiness probes.
        peers: Connections of the address for the other instances.
        metrics: Connections of the metrics address.
        outgoing: Connections that the process itself opens; beyond this, unused
            ones are closed.
    """

    held_bytes: int
    connections: int
    callers: int
    readiness: int
    peers: int
    metrics: int
    outgoing: int


def derive(memory_mb: float = 0, max_fds: int = 0) -> ProcessLimits:
    """Returns the limits for a machine.

    Callers and peers may each use two thirds of the connections, so that
    neither can leave the other without any.

    Args:
        memory_mb: Memory of the process in MB; 0 if unknown.
        max_fds: File descriptors that the process may open; 0 if unknown.
    """
    memory_bytes = int((memory_mb or DEFAULT_MEMORY_MB) * _BYTES_PER_MB)
    usable = max((max_fds or DEFAULT_MAX_FDS) - RESERVED_FDS, 1)
    connections = min(
        max(usable - WORKER_FDS, usable // _SHARE_OF_FEW_FDS),
        memory_bytes // _SHARE_FOR_SYSTEM // _SYSTEM_BYTES,
    )
    connections = max(connections, 1)
    most = max(connections * 2 // 3, 1)
    return ProcessLimits(
        held_bytes=memory_bytes // _SHARE_OF_MEMORY,
        connections=connections,
        callers=most,
        readiness=min(_READINESS_CONNECTIONS, most),
        peers=most,
        metrics=min(_METRICS_CONNECTIONS, most),
        outgoing=max(usable - connections, 1),
    )
