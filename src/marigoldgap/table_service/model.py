"""Types of the platform's services."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

ABSENT_VERSION = 0


class Row(NamedTuple):
    """A row of the table service; the value is any JSON value."""

    key: str
    value: Any
    version: int


class Check(NamedTuple):
    """Precondition: the row has this version; ABSENT_VERSION means no row."""

    key: str
    version: int


class Put(NamedTuple):
    """Writes a row."""

    key: str
    value: Any


class Transaction(NamedTuple):
    """Checks and writes that take effect atomically."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class InstanceEntry(NamedTuple):
    """An instance in the platform's list.

    Attributes:
        kind: `worker` or `entry`.
        address: HTTP address, `ip:port`.
        peer_address: Address for links between entry instances; empty for
            workers.
        service: Service of a worker; empty for entry instances.
        state: `live` or `leaving`.
    """

    instance_id: str
    kind: str
    zone: str
    region: str
    rack: str
    address: str
    peer_address: str
    service: str
    state: str
