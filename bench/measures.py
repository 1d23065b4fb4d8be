"""Metrics of a run that have targets but are not invariants."""

from __future__ import annotations

from collections.abc import Sequence

from bench import observations
from bench import shares
from bench import spans
from bench.invariants import registry

_MEDIAN = 0.5
_NINETY_NINTH = 0.99
# Kinds of work in bench.mix that a zone can serve while it is cut off.
SERVED_WHEN_CUT_OFF = frozenset(
    {"lookup", "open-lookup", "filing", "late", "large"}
)


def compute(case: registry.Case) -> dict[str, float | int | None]:
    """Returns the waiting times, packing, share distance and link bytes."""
    run = case.observations
    requests = waiting_times(case, "request")
    jobs = waiting_times(case, "job")
    usage = shares.slot_ms(case.history, run.from_ms, run.to_ms)
    load_end_ms = max(
        (each.sent_ms for each in run.submissions), default=run.to_ms
    )
    loaded = shares.slot_ms(case.history, run.from_ms, load_end_ms)
    loaded_ms = max(1, load_end_ms - run.from_ms)
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
        "cut_zone_served": cut_zone_served(run),
    }


def cut_zone_served(run: observations.Observations) -> float | None:
    """Returns the fraction of requests that zones answered while cut off.

    Only requests that need neither the table service nor a new key count.

    Returns:
        The fraction from 0 to 1; None if no such request was sent to a zone
        while it was cut off.
    """
    sent = [
        each
        for each in run.submissions
        if each.use in SERVED_WHEN_CUT_OFF and _is_cut_off(run, each)
    ]
    if not sent:
        return None
    answered = sum(each.outcome == "answered" for each in sent)
    return round(answered / len(sent), 4)


def _is_cut_off(
    run: observations.Observations, sent: observations.Submission
) -> bool:
    """Returns whether the zone of a request was cut off when it was sent."""
    return any(
        each.kind == "cut"
        and each.zone == sent.zone
        and each.from_ms <= sent.sent_ms <= each.to_ms
        for each in run.disturbances
    )


def waiting_times(case: registry.Case, mode: str) -> list[int]:
    """Returns the sorted waiting times of work, in milliseconds.

    A waiting time lasts from the first submission to the first start.
    """
    sent: dict[str, int] = {}
    for each in case.observations.submissions:
        sent[each.token] = min(each.sent_ms, sent.get(each.token, each.sent_ms))
    first: dict[str, spans.Span] = {}
    for span in case.history:
        if span.mode == mode:
            first.setdefault(span.work_id, span)
    return sorted(
        round(span.start_ms - sent[span.token])
        for span in first.values()
        if span.token in sent
    )


def quantile(values: Sequence[int], fraction: float) -> int | None:
    """Returns a quantile of sorted values, or None if there are no values."""
    if not values:
        return None
    return values[min(len(values) - 1, int(len(values) * fraction))]
