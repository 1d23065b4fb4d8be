"""Reads the counters of a deployment and computes rates from them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from collections.abc import Mapping
import time
from typing import Any
from typing import NamedTuple

from bench import cluster
from bench import wiring
from bench.capacity import probes

COORDINATOR = "coordinator"
MEMBER = "member"
# Mean of all entry instances of the zone. Tasks and workers are distributed
# unevenly, so only the mean cost corresponds to the mean of the variable.
ENTRY = "entry"
DEPLOYMENT = "deployment"


class EntryReading(NamedTuple):
    """Counters of one entry instance, with the times of their reading."""

    cpu_at_s: float
    cpu_ms: float
    resident_mib: float
    status_at_s: float
    status: Mapping[str, Any]


class Reading(NamedTuple):
    """Counters of a deployment.

    Attributes:
        entries: Counters of the entry instances by id.
        table: Operation counters of the table service.
        link_bytes: Bytes sent over the link between regions.
    """

    at_s: float
    entries: dict[str, EntryReading]
    table: dict[str, int]
    link_bytes: int


class Rate(NamedTuple):
    """A measured value with its unit."""

    role: str
    measure: str
    unit: str
    value: float


async def read(target: cluster.Cluster, first: bool) -> Reading:
    """Reads all counters.

    Args:
        target: The deployment.
        first: Whether a window begins; the order of the readings keeps the
            cost of the status requests out of the window.
    """
    if first:
        statuses = await _statuses(target)
        costs = _costs(target)
    else:
        costs = _costs(target)
        statuses = await _statuses(target)
    link = await target.controls.link_bytes()
    return Reading(
        time.monotonic(),
        {
            name: EntryReading(*costs[name], *statuses[name])
            for name in statuses
        },
        await target.controls.table_counters(),
        sum(link.values()),
    )


def rates(
    before: Reading, after: Reading, zone_ids: tuple[str, ...]
) -> Iterator[Rate]:
    """Yields the rates of each role: coordinator, member, entry, deployment.

    Args:
        before: Reading at the start of the window.
        after: Reading at the end of the window.
        zone_ids: Ids of the entry instances of the measured zone.
    """
    groups: dict[str, list[dict[tuple[str, str], float]]] = {}
    for name in zone_ids:
        reading = after.entries[name]
        is_coordinator = bool(reading.status["is_coordinator"])
        role = COORDINATOR if is_coordinator else MEMBER
        values = _entry_rates(before.entries[name], reading)
        groups.setdefault(role, []).append(values)
        groups.setdefault(ENTRY, []).append(values)
    for role, members in groups.items():
        for measure, unit in members[0]:
            mean = sum(each[measure, unit] for each in members) / len(members)
            yield Rate(role, measure, unit, mean)
    seconds = after.at_s - before.at_s
    for kind in ("reads", "writes"):
        count = after.table.get(kind, 0) - before.table.get(kind, 0)
        yield Rate(DEPLOYMENT, f"table {kind}", f"{kind}/s", count / seconds)
    sent = after.link_bytes - before.link_bytes
    yield Rate(DEPLOYMENT, "link between regions", "B/s", sent / seconds)


def running_tasks(reading: Reading, zone_ids: tuple[str, ...]) -> int:
    """Returns the number of tasks that run on workers of the zone."""
    return sum(
        sum(reading.entries[name].status["running"].values())
        for name in zone_ids
    )


def _entry_rates(
    before: EntryReading, after: EntryReading
) -> dict[tuple[str, str], float]:
    """Returns the costs of one entry instance by measure and unit."""
    cpu_s = after.cpu_at_s - before.cpu_at_s
    status_s = after.status_at_s - before.status_at_s

    def per_s(section: str, *fields: str) -> float:
        sums = [
            sum(int(each.status[section].get(name, 0)) for name in fields)
            for each in (before, after)
        ]
        return (sums[1] - sums[0]) / status_s

    peer = "peer_traffic"
    lease = "worker_control"
    return {
        ("processor", "ms/s"): (after.cpu_ms - before.cpu_ms) / cpu_s,
        ("memory", "MiB"): after.resident_mib,
        ("peer control sent", "B/s"): per_s(peer, "control_sent"),
        ("peer digest sent", "B/s"): per_s(peer, "digest_sent"),
        ("peer work sent", "B/s"): per_s(peer, "work_sent"),
        ("peer messages", "messages/s"): per_s(
            peer, "messages_sent", "messages_received"
        ),
        ("lease bytes", "B/s"): per_s(lease, "bytes_sent", "bytes_received"),
        ("lease exchanges", "exchanges/s"): per_s(lease, "exchanges"),
    }


def _costs(target: cluster.Cluster) -> dict[str, tuple[float, float, float]]:
    """Returns the time, processor time and memory of each entry instance."""
    return {
        entry.instance_id: (
            time.monotonic(),
            probes.cpu_ms(target.entry_pid(entry)),
            probes.resident_mib(target.entry_pid(entry)),
        )
        for entry in target.wired.entries
    }


async def _statuses(
    target: cluster.Cluster,
) -> dict[str, tuple[float, Mapping[str, Any]]]:
    """Returns the time and status of each entry instance."""

    async def ask(entry: wiring.Entry) -> tuple[float, Mapping[str, Any]]:
        reply = await target.operator.send(
            "GET", "/v1/operators/status", None, entry
        )
        reply.check()
        return time.monotonic(), reply.json()

    entries = target.wired.entries
    answers = await asyncio.gather(*map(ask, entries))
    return {
        entry.instance_id: answer
        for entry, answer in zip(entries, answers, strict=True)
    }
