"""Prometheus metrics of a serving process."""

from __future__ import annotations

from collections.abc import Iterator

import prometheus_client

# Upper bounds of the latency buckets: from a call within the availability zone
# to the longest time objective of a batch job.
_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)
# Upper bounds of the buckets of log ratios: factors of 1/4, 1/2, 1/1.25, 1, 1.25,
# 2, 4 and 8.
_BUCKETS_LOG = (-1.386, -0.693, -0.223, 0.0, 0.223, 0.693, 1.386, 2.079)


class _EncodableRegistry(prometheus_client.CollectorRegistry):
    """Replaces labels that cannot be encoded: one name would fail the whole page.

    JSON may contain half of a surrogate pair, so names of the operator may.
    """

    def collect(self) -> Iterator[prometheus_client.Metric]:
        for metric in super().collect():
            metric.samples = [
                sample._replace(
                    labels={
                        name: value.encode(errors="backslashreplace").decode()
                        for name, value in sample.labels.items()
                    }
                )
                for sample in metric.samples
            ]
            yield metric


REGISTRY = _EncodableRegistry()

REQUESTS = prometheus_client.Counter(
    "marigoldgap_requests",
    "Answered requests of callers.",
    ["method", "status"],
    registry=REGISTRY,
)
TOMBSTONES = prometheus_client.Counter(
    "marigoldgap_tombstones",
    "Cancellations of jobs that are not stored: tombstones that were written,"
    " and cancellations beyond their limit.",
    ["outcome"],
    registry=REGISTRY,
)
ACCEPTANCE_S = prometheus_client.Histogram(
    "marigoldgap_acceptance_seconds",
    "Time until a submitted job is stored.",
    buckets=_BUCKETS_S,
    registry=REGISTRY,
)
FIRST_START_S = prometheus_client.Histogram(
    "marigoldgap_first_start_seconds",
    "Time from seeing a job to its first confirmed start.",
    ["priority"],
    buckets=_BUCKETS_S,
    registry=REGISTRY,
)
COMPLETION_S = prometheus_client.Histogram(
    "marigoldgap_completion_seconds",
    "Time from seeing a job to its end.",
    ["priority", "state"],
    buckets=_BUCKETS_S,
    registry=REGISTRY,
)
COMPLETED_JOBS = prometheus_client.Counter(
    "marigoldgap_completed_jobs",
    "Completed jobs by lateness (on_time, late, expired) and by whether they"
    " were above the fair rate of their workspace.",
    ["queue", "lateness", "workspace_class"],
    registry=REGISTRY,
)
RUNS = prometheus_client.Counter(
    "marigoldgap_runs",
    "Ended runs of tasks.",
    ["how"],
    registry=REGISTRY,
)
RUN_TIME_ERROR = prometheus_client.Histogram(
    "marigoldgap_run_time_error",
    "Natural logarithm of measured by expected run time, by source of the latter.",
    ["source"],
    buckets=_BUCKETS_LOG,
    registry=REGISTRY,
)
STARTS = prometheus_client.Counter(
    "marigoldgap_starts",
    "Answers of workers to starts.",
    ["outcome"],
    registry=REGISTRY,
)
STORE_CALLS_S = prometheus_client.Histogram(
    "marigoldgap_store_call_seconds",
    "Calls to the store that were answered, by call.",
    ["call"],
    buckets=_BUCKETS_S,
    registry=REGISTRY,
)
STORE_FAILURES = prometheus_client.Counter(
    "marigoldgap_store_failures",
    "Calls to the store that failed.",
    ["call", "code"],
    registry=REGISTRY,
)
RECOVERY_ATTEMPTS = prometheus_client.Counter(
    "marigoldgap_recovery_attempts",
    "Recoveries from the store that a leader has begun.",
    registry=REGISTRY,
)
RECOVERY_S = prometheus_client.Histogram(
    "marigoldgap_recovery_seconds",
    "Time of a recovery that has ended, from the election on.",
    buckets=_BUCKETS_S,
    registry=REGISTRY,
)
READ_ROWS = prometheus_client.Counter(
    "marigoldgap_table_read_rows",
    "Rows read in pages of whole tables.",
    registry=REGISTRY,
)
READ_BYTES = prometheus_client.Counter(
    "marigoldgap_table_read_bytes",
    "Bytes of the rows read in pages of whole tables.",
    registry=REGISTRY,
)
ADVICE_S = prometheus_client.Histogram(
    "marigoldgap_advice_seconds",
    "Calls for advice, with the way to the asking instance.",
    buckets=_BUCKETS_S,
    registry=REGISTRY,
)
ELECTIONS = prometheus_client.Counter(
    "marigoldgap_elections_won",
    "Elections that this instance has won.",
    registry=REGISTRY,
)
UNEXPECTED_ERRORS = prometheus_client.Counter(
    "marigoldgap_unexpected_errors",
    "Unexpected errors that cost only the worker, run or call they concern.",
    ["subject"],
    registry=REGISTRY,
)
LEADERSHIP_FAILURES = prometheus_client.Counter(
    "marigoldgap_leadership_failures",
    "Leaderships of this instance that it ended itself, by the part that failed.",
    ["part"],
    registry=REGISTRY,
)
WAITING_TASKS = prometheus_client.Gauge(
    "marigoldgap_waiting_tasks",
    "Tasks that could start if there were room, at the last plan.",
    registry=REGISTRY,
)
CONFIGURATION_READER = prometheus_client.Gauge(
    "marigoldgap_configuration_reader",
    "Whether this instance reads the configuration for its zone.",
    registry=REGISTRY,
)
CONFIGURATION_AGE_S = prometheus_client.Histogram(
    "marigoldgap_configuration_age_seconds",
    "Age of the configuration by which requests of callers are decided.",
    buckets=(0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0, 10.0),
    registry=REGISTRY,
)
CONFIGURATION_VERSION = prometheus_client.Gauge(
    "marigoldgap_configuration_version",
    "Version of the configuration in force.",
    registry=REGISTRY,
)
LIMITED_CLIENTS = prometheus_client.Counter(
    "marigoldgap_limited_clients",
    "Requests rejected and connections dropped at a limit.",
    ["address", "limit"],
    registry=REGISTRY,
)
CLIENT_CONNECTIONS = prometheus_client.Gauge(
    "marigoldgap_client_connections",
    "Open connections of clients.",
    ["address"],
    registry=REGISTRY,
)
HELD_BYTES = prometheus_client.Gauge(
    "marigoldgap_held_bytes",
    "Bytes of unfinished requests and unsent responses.",
    registry=REGISTRY,
)
LIMITED_RESPONSES = prometheus_client.Counter(
    "marigoldgap_limited_responses",
    "Responses to calls of this process that exceeded a limit.",
    ["limit"],
    registry=REGISTRY,
)
EVACUATED_ZONES = prometheus_client.Gauge(
    "marigoldgap_evacuated_zones",
    "Availability zones that the operator has evacuated.",
    registry=REGISTRY,
)
EVACUATING_RUNS = prometheus_client.Gauge(
    "marigoldgap_evacuating_runs",
    "Runs that remain in an evacuated zone, as the leader knows them.",
    ["zone"],
    registry=REGISTRY,
)


def text() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest(REGISTRY)
