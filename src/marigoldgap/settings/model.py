"""The settings of one entry instance."""

from __future__ import annotations

import re
from typing import Annotated

import pydantic

_ADDRESS_PATTERN = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
_MAX_PORT = 65_535
_MAX_OCTET = 255


def _check_address(value: str) -> str:
    """Checks that the value is an IPv4 address and a port."""
    if not _ADDRESS_PATTERN.match(value):
        raise ValueError(
            "expected an IP number and a port, e.g. 127.0.0.1:8080"
        )
    host, _, port = value.partition(":")
    if any(int(octet) > _MAX_OCTET for octet in host.split(".")):
        raise ValueError("each part of the IP number must be at most 255")
    if int(port) > _MAX_PORT:
        raise ValueError("the port must be at most 65535")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Name = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]*$")
]
Milliseconds = Annotated[int, pydantic.Field(ge=1, le=86_400_000)]


class _Section(pydantic.BaseModel):
    """Base of all sections: rejects unknown fields; instances are immutable."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PlatformSettings(_Section):
    """Addresses and timing of the platform's services."""

    table_address: Address
    object_address: Address
    list_address: Address
    request_timeout_ms: Milliseconds = 2_000
    list_poll_ms: Milliseconds = 1_000


class LeaseSettings(_Section):
    """Timing of worker leases; see section 2.1 of the design page."""

    ttl_ms: Milliseconds = 4_000
    renew_ms: Milliseconds = 1_000
    margin_ms: Milliseconds = 500
    task_grace_ms: Milliseconds = 8_000

    @pydantic.model_validator(mode="after")
    def _check_order(self) -> LeaseSettings:
        if self.renew_ms + self.margin_ms >= self.ttl_ms:
            raise ValueError("renew_ms + margin_ms must be less than ttl_ms")
        return self

    @property
    def max_orphaned_run_ms(self) -> int:
        """Milliseconds after which a worker without owner runs no job task."""
        return self.ttl_ms + self.task_grace_ms + self.margin_ms


class PeerSettings(_Section):
    """Links to other entry instances: timing, bandwidth and seeds."""

    heartbeat_ms: Milliseconds = 500
    dead_after_ms: Milliseconds = 2_000
    digest_ms: Milliseconds = 1_000
    link_budget_bytes_per_s: Annotated[int, pydantic.Field(ge=256)] = 9_000
    seeds: tuple[Address, ...] = ()


class QueueSettings(_Section):
    """Limits of the request queue."""

    capacity: Annotated[int, pydantic.Field(ge=1)] = 2_000
    default_deadline_ms: Milliseconds = 10_000
    largest_body_bytes: Annotated[int, pydantic.Field(ge=1_024)] = 8_388_608


class MetricsSettings(_Section):
    """Destination of statsd metrics; None as the address disables them."""

    address: Address | None = None
    prefix: str = "marigoldgap"


class LogSettings(_Section):
    """Level and format of logs."""

    level: Annotated[
        str, pydantic.Field(pattern="^(debug|info|warning|error)$")
    ] = "info"
    json_lines: bool = False


class Settings(_Section):
    """All settings of one entry instance.

    Attributes:
        instance_id: Unique name of this process.
        address: HTTP address for callers and operators.
        peer_address: Address for links from other entry instances.
        cluster_secret: Secret shared by all entry instances; proves
            membership.
        operator_key_hash: SHA-256 of the operators' key, in hexadecimal.
        max_key_age_s: New keyed work is refused if the keys were last
            confirmed longer ago than this; with None, the last confirmed keys
            stay valid.
    """

    instance_id: Name
    zone: Name
    region: Name
    address: Address
    peer_address: Address
    cluster_secret: Annotated[str, pydantic.StringConstraints(min_length=16)]
    operator_key_hash: Annotated[
        str, pydantic.StringConstraints(pattern="^[0-9a-f]{64}$")
    ]
    platform: PlatformSettings
    lease: LeaseSettings = LeaseSettings()
    peers: PeerSettings = PeerSettings()
    queue: QueueSettings = QueueSettings()
    metrics: MetricsSettings = MetricsSettings()
    logs: LogSettings = LogSettings()
    max_key_age_s: Annotated[int, pydantic.Field(ge=1)] | None = None
    drain_timeout_ms: Milliseconds = 60_000
    event_ring_size: Annotated[int, pydantic.Field(ge=100)] = 20_000
