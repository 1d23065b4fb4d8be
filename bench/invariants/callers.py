"""Checks of the invariants that callers observe."""

from __future__ import annotations

from bench import observations
from bench import spans
from bench.invariants import registry

# Section 1.2: "A withdrawn key stops working within seconds".
WITHDRAWAL_GRACE_MS = 5_000
# Links reconnect in this time after a cut of a zone ends.
_RECONNECT_GRACE_MS = 10_000
# The balancer notices a closed connection shortly after the process exits.
_DISCONNECT_GRACE_MS = 1_000


@registry.invariant("ran_twice")
def ran_twice(case: registry.Case) -> list[str]:
    """Finds non-idempotent work that was started more than once."""
    single_run_tokens = {
        each.token
        for each in case.observations.submissions
        if not each.idempotent
    }
    starts: dict[str, int] = {}
    by_token: dict[str, int] = {}
    for span in case.history:
        if span.token in single_run_tokens:
            starts[span.work_id] = starts.get(span.work_id, 0) + 1
            by_token[span.token] = by_token.get(span.token, 0) + 1
    found = [
        f"{unit}: {count} starts" for unit, count in starts.items() if count > 1
    ]
    if found:
        return found
    return [
        f"{job.job_id}: {by_token[job.token]} starts of {job.tasks} tasks"
        for job in case.observations.jobs
        if by_token.get(job.token, 0) > job.tasks
    ]


@registry.invariant("false_not_run")
def false_not_run(case: registry.Case) -> list[str]:
    """Finds work that ran although every submission was refused as not run."""
    not_run: dict[str, bool] = {}
    for each in case.observations.submissions:
        refused = each.outcome == "refused" and each.ran == "no"
        not_run[each.token] = refused and not_run.get(each.token, True)
    starts = case.starts_by_token()
    return [
        token for token, all_no in not_run.items() if all_no and token in starts
    ]


@registry.invariant("wrong_answer")
def wrong_answer(case: registry.Case) -> list[str]:
    """Finds answers that are incomplete or belong to another request."""
    return [
        f"{each.token} ({each.use}, status {each.status})"
        for each in case.observations.submissions
        if each.outcome == "answered" and not each.correct
    ]


@registry.invariant("work_after_withdrawal")
def work_after_withdrawal(case: registry.Case) -> list[str]:
    """Finds work that ran although its key was withdrawn before sending.

    The withdrawal may take WITHDRAWAL_GRACE_MS, and longer in a cut-off zone.
    """
    run = case.observations
    withdrawn = {each.key_id: each.at_ms for each in run.withdrawals}
    starts = case.starts_by_token()
    found = []
    for each in run.submissions:
        at_ms = withdrawn.get(each.key_id)
        if at_ms is None or each.token not in starts:
            continue
        late = each.sent_ms - at_ms > WITHDRAWAL_GRACE_MS
        if late and not _was_cut_off(run, each.zone, at_ms, each.sent_ms):
            found.append(f"{each.token} with {each.key_id} in {each.zone}")
    return found


@registry.invariant("lost_jobs")
def lost_jobs(case: registry.Case) -> list[str]:
    """Finds accepted jobs without an allowed end."""
    starts = case.starts_by_token()
    return [
        f"{job.job_id}: reported {job.reported or 'nothing'}"
        for job in case.observations.jobs
        if not _is_settled(job, starts.get(job.token, []))
    ]


@registry.invariant("cut_short")
def cut_short(case: registry.Case) -> list[str]:
    """Finds requests interrupted by planned stops, and failed stops."""
    found = []
    for stop in case.observations.stops:
        if stop.forced or stop.status != 0:
            found.append(f"{stop.entry} ended with status {stop.status}")
        for record in case.observations.interruptions:
            late_ms = record["at_ms"] - stop.ended_ms
            if record["entry"] != stop.entry or late_ms > _DISCONNECT_GRACE_MS:
                continue
            if record["at_ms"] >= stop.asked_ms:
                found.append(
                    f"{stop.entry} interrupted a request at"
                    f" {record['at_ms']} ms"
                )
    return found


def _is_settled(job: observations.Job, starts: list[spans.Span]) -> bool:
    """Returns whether an accepted job has an allowed end."""
    if job.cancelled:
        return True
    if job.endless and any(span.end_ms is None for span in starts):
        return True
    finished = {span.work_id for span in starts if span.state == "finished"}
    if len(finished) >= job.tasks:
        return True
    if job.reported == "failed":
        return _may_have_failed(job, starts)
    return job.reported == "impossible"


def _may_have_failed(job: observations.Job, starts: list[spans.Span]) -> bool:
    """Returns whether the records explain why a job is reported as failed.

    An idempotent job may fail only if a task failed. A job that must not run
    twice may also fail if a task ended without finishing.
    """
    if any(span.state == "failed" for span in starts):
        return True
    broken = any(span.state not in ("", "finished") for span in starts)
    return broken and not job.idempotent


def _was_cut_off(
    run: observations.Observations, zone: str, from_ms: int, to_ms: int
) -> bool:
    """Returns whether a zone was cut off in an interval or just before it."""
    return any(
        each.kind == "cut"
        and each.zone == zone
        and each.from_ms <= to_ms
        and each.to_ms + _RECONNECT_GRACE_MS >= from_ms
        for each in run.disturbances
    )
