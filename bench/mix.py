"""Workload mix: the kinds of requests and jobs of all deployments."""

from __future__ import annotations

from bench import plans

_LOOKUP_MS = 20
_FILING_MS = 60
_LATE_MS = 3_000
# Recorded answers are limited to 4 KiB (section 2.3).
_RECORDED_BYTES = 1_024
_LARGE_BYTES = 262_144
_TASK_MS = 1_500
_GANG_MS = 1_000
_LONGEST_TASK_MS = 8_000
# Declared run times are very inaccurate (section 1.4), hence the wide spread.
_DECLARED_SPREAD = 1.5


@plans.work(plans.REQUESTS, weight=60)
def _lookup(source: plans.Source) -> plans.RequestPlan:
    """Returns a quick lookup with a key."""
    return plans.RequestPlan(
        "lookup",
        source.team(),
        source.layout.queues.lookup,
        source.random_ms(_LOOKUP_MS, 0.6),
    )


@plans.work(plans.REQUESTS, weight=10)
def _open_lookup(source: plans.Source) -> plans.RequestPlan:
    """Returns a quick lookup in the open queue."""
    return plans.RequestPlan(
        "open-lookup",
        "",
        source.layout.queues.open_lookup,
        source.random_ms(_LOOKUP_MS, 0.6),
    )


@plans.work(plans.REQUESTS, weight=10)
def _filing(source: plans.Source) -> plans.RequestPlan:
    """Returns a request that must run at most once."""
    return plans.RequestPlan(
        "filing",
        source.team(),
        source.layout.queues.filing,
        source.random_ms(_FILING_MS, 0.6),
        idempotent=False,
    )


@plans.work(plans.REQUESTS, weight=12)
def _keyed_filing(source: plans.Source) -> plans.RequestPlan:
    """Returns a request with an Idempotency-Key, often repeated elsewhere."""
    repeats = source.random.choice([0, 0, 1, 2])
    return plans.RequestPlan(
        "keyed-filing",
        source.team(),
        source.layout.queues.filing,
        source.random_ms(_FILING_MS, 0.6),
        answer_bytes=_RECORDED_BYTES,
        idempotent=False,
        has_idempotency_key=True,
        repeats_s=tuple(source.random.uniform(0, 2) for _ in range(repeats)),
    )


@plans.work(plans.REQUESTS, weight=4)
def _large(source: plans.Source) -> plans.RequestPlan:
    """Returns a request with a large answer."""
    return plans.RequestPlan(
        "large",
        source.team(),
        source.layout.queues.lookup,
        source.random_ms(_LOOKUP_MS, 0.6),
        answer_bytes=source.random.randrange(_LARGE_BYTES),
    )


@plans.work(plans.REQUESTS, weight=2)
def _late(source: plans.Source) -> plans.RequestPlan:
    """Returns a request that takes seconds to answer."""
    return plans.RequestPlan(
        "late",
        source.team(),
        source.layout.queues.lookup,
        source.random_ms(_LATE_MS, 0.3),
    )


@plans.work(plans.JOBS, weight=60)
def _bundle(source: plans.Source) -> plans.JobPlan:
    """Returns a batch job with one or more tasks."""
    return plans.JobPlan(
        "bundle",
        source.team(),
        source.layout.queues.batch,
        tasks=source.random.choice([1, 1, 2, 4, 8, 16]),
        run_ms=_task_ms(source, _TASK_MS),
        expected_run_ms=source.random_ms(_TASK_MS, _DECLARED_SPREAD),
        urgent=source.random.random() < 0.05,
    )


@plans.work(plans.JOBS, weight=5)
def _single_run(source: plans.Source) -> plans.JobPlan:
    """Returns a job whose tasks must run at most once."""
    return _bundle(source)._replace(use="single-run", idempotent=False)


@plans.work(plans.JOBS, weight=10)
def _gang(source: plans.Source) -> plans.JobPlan:
    """Returns a gang: a job whose tasks must all run at the same time."""
    return plans.JobPlan(
        "gang",
        source.team(),
        source.layout.queues.gang,
        tasks=source.random.randrange(2, 7),
        run_ms=_task_ms(source, _GANG_MS),
        expected_run_ms=source.random_ms(_GANG_MS, _DECLARED_SPREAD),
        gang=True,
    )


@plans.work(plans.JOBS, weight=3)
def _service(source: plans.Source) -> plans.JobPlan:
    """Returns a service that runs until it is cancelled."""
    return plans.JobPlan(
        "service",
        source.team(),
        source.layout.queues.service,
        tasks=1,
        run_ms=None,
        expected_run_ms=source.random_ms(_TASK_MS, _DECLARED_SPREAD),
        cancel_after_s=source.random.uniform(5, 20),
    )


@plans.work(plans.JOBS, weight=3)
def _failing(source: plans.Source) -> plans.JobPlan:
    """Returns a job whose task always fails."""
    return _bundle(source)._replace(use="failing", tasks=1, fail=True)


@plans.work(plans.JOBS, weight=2)
def _impossible(source: plans.Source) -> plans.JobPlan:
    """Returns a job whose tasks are larger than any worker."""
    largest = source.layout.capacity.millicores
    return _bundle(source)._replace(use="impossible", millicores=largest * 2)


@plans.work(plans.JOBS, weight=5)
def _cancelled(source: plans.Source) -> plans.JobPlan:
    """Returns a job that its caller cancels within 3 s."""
    delay_s = source.random.uniform(0, 3)
    return _bundle(source)._replace(use="cancelled", cancel_after_s=delay_s)


def _task_ms(source: plans.Source, median_ms: int) -> int:
    """Returns the run time of a task in ms, capped so that every run ends."""
    return min(source.random_ms(median_ms, 0.6), _LONGEST_TASK_MS)
