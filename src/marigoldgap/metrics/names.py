"""All metric names; the page docs/OPERATIONS.md lists the same names."""

from __future__ import annotations

from typing import NamedTuple

COUNTER = "counter"
GAUGE = "gauge"
TIMING = "timing"


class Metric(NamedTuple):
    """One metric.

    Attributes:
        name: Name without prefix and instance id.
        kind: `counter`, `gauge` or `timing`; timings are in milliseconds.
        meaning: Description for operators.
    """

    name: str
    kind: str
    meaning: str


_all: list[Metric] = []


def _metric(name: str, kind: str, meaning: str) -> Metric:
    metric = Metric(name, kind, meaning)
    _all.append(metric)
    return metric


def all_metrics() -> tuple[Metric, ...]:
    """Returns all metrics in the order of docs/OPERATIONS.md."""
    return tuple(_all)


REQUESTS_ACCEPTED = _metric(
    "requests.accepted", COUNTER, "requests that passed key check and rules"
)
REQUESTS_ANSWERED = _metric(
    "requests.answered", COUNTER, "requests whose complete answer was sent"
)
REQUESTS_REFUSED = _metric(
    "requests.refused", COUNTER, "refusals with `ran: no`, also by code"
)
REQUESTS_UNKNOWN = _metric(
    "requests.unknown", COUNTER, "answers with `ran: unknown`, also by code"
)
REQUESTS_FORWARDED = _metric(
    "requests.forwarded", COUNTER, "requests handed to another entry instance"
)
REQUEST_WAIT = _metric(
    "requests.wait", TIMING, "time from acceptance to the start on a worker"
)
REQUEST_TIME = _metric(
    "requests.time", TIMING, "time from acceptance to the complete answer"
)
DECISION_TIME = _metric(
    "placement.time", TIMING, "time of one placement decision"
)
WORKERS_EXAMINED = _metric(
    "placement.examined", COUNTER, "workers that decisions looked at"
)
QUEUE_LENGTH = _metric("queue.length", GAUGE, "requests that wait here")
FREE_SLOTS = _metric("capacity.free_slots", GAUGE, "free slots of own workers")
RUNNING_TASKS = _metric(
    "tasks.running", GAUGE, "running tasks of own workers, also by team"
)
TASK_RETRIES = _metric("tasks.retries", COUNTER, "tasks started again")
JOBS_ACCEPTED = _metric("jobs.accepted", COUNTER, "jobs stored")
JOBS_ENDED = _metric("jobs.ended", COUNTER, "ended jobs, also by state")
JOBS_OPEN = _metric("jobs.open", GAUGE, "open jobs of the zone (coordinator)")
JOB_WAIT = _metric("jobs.wait", TIMING, "time from acceptance to first start")
WORKERS_OWNED = _metric("workers.owned", GAUGE, "workers whose lease is held")
WORKERS_QUARANTINED = _metric(
    "workers.quarantined", GAUGE, "own workers in quarantine"
)
LEASES_LOST = _metric("leases.lost", COUNTER, "leases lost, also by reason")
PEERS_LIVE = _metric("peers.live", GAUGE, "live entry instances of the zone")
PEER_BYTES = _metric(
    "peers.bytes_sent", COUNTER, "bytes sent to entry instances, also by zone"
)
IS_COORDINATOR = _metric(
    "coordinator.active", GAUGE, "1 while this instance is the coordinator"
)
BARRIER_TIME = _metric(
    "coordinator.barrier", TIMING, "time until the barrier was complete"
)
HOLDINGS = _metric("allowance.held", GAUGE, "held units of limits, by team")
STORE_UP = _metric("store.up", GAUGE, "0 while the table service is down")
STORE_WRITES = _metric("store.writes", COUNTER, "writes to the table service")
STORE_WRITE_TIME = _metric("store.write_time", TIMING, "time of one write")
INSTANCE_LIST_AGE = _metric(
    "instances.age_ms", GAUGE, "age of the instance list"
)
CONFIG_VERSION = _metric("config.version", GAUGE, "version in force here")
CONFIG_AGE = _metric(
    "config.confirmed_age_ms", GAUGE, "time since the store confirmed the keys"
)
KEYS_REFUSED = _metric("keys.refused", COUNTER, "requests with a bad key")
EVENTS_DROPPED = _metric(
    "events.dropped", GAUGE, "old events that made room in the ring"
)
LOOP_DELAY = _metric("process.loop_delay", TIMING, "delay of the event loop")
