"""Figures of a run that are goals, not invariants."""

from __future__ import annotations

from collections.abc import Sequence

from bench import shares
from bench import spans
from bench.invariants import registry

_MEDIAN = 0.5
_NINETY_NINTH = 0.99


def compute(case: registry.Case) -> dict[str, float | int | None]:
    """Returns waiting times, packing, link bytes and distance to shares."""
    run = case.evidence
    requests = waits(case, "request")
    jobs = waits(case, "job")
    usage = shares.slot_ms(case.history, run.from_ms, run.to_ms)
    busy_to_ms = max(
        (each.sent_ms for each in run.submissions), default=run.to_ms
    )
    loaded = shares.slot_ms(case.history, run.from_ms, busy_to_ms)
    loaded_ms = max(1, busy_to_ms - run.from_ms)
    return {
        "wait_p50_ms": quantile(requests, _MEDIAN),
        "wait_p99_ms": quantile(requests, _NINETY_NINTH),
        "job_wait_p50_ms": quantile(jobs, _MEDIAN),
        "job_wait_p99_ms": quantile(jobs, _NINETY_NINTH),
        "packing": round(
            sum(loaded.values()) / (loaded_ms * run.layout.slots), 4
        ),
        "share_distance": shares.distance(run, loaded, usage),
        "link_bytes": run.link_bytes,
    }


def waits(case: registry.Case, mode: str) -> list[int]:
    """Returns the times from sending work to its first start, sorted."""
    sent: dict[str, int] = {}
    for each in case.evidence.submissions:
        sent[each.token] = min(each.sent_ms, sent.get(each.token, each.sent_ms))
    first: dict[str, spans.Span] = {}
    for span in case.history:
        if span.mode == mode:
            first.setdefault(span.unit, span)
    return sorted(
        round(span.start_ms - sent[span.token])
        for span in first.values()
        if span.token in sent
    )


def quantile(values: Sequence[int], fraction: float) -> int | None:
    """Returns a quantile of sorted values; None if there are none."""
    if not values:
        return None
    return values[min(len(values) - 1, int(len(values) * fraction))]
