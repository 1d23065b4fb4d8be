"""Steps for the checks of invariants and the verdict."""

from __future__ import annotations

from behave import given
from behave import then
import hypothesis
from hypothesis import strategies

from bench import checker
from bench import observations
from tests.fixtures import bench_observations

_NOW = bench_observations.NOW_MS
_PROMISED = [
    "sent",
    "answered",
    "refused_not_run",
    "unknown",
    "lost_jobs",
    "ran_twice",
    "two_places",
    "overcommitted",
    "over_limit",
    "false_not_run",
    "wrong_answer",
    "work_after_withdrawal",
    "work_to_leaving",
    "cut_short",
    "config_reverted",
    "wait_p50_ms",
    "wait_p99_ms",
    "link_bytes",
]
_cases = {}


def _case(name):
    """Registers the change that adds a case to the observations of a run."""

    def add(change):
        _cases[name] = change
        return change

    return add


def _with_runs(run, *records):
    merged = [*run.records, *(each for part in records for each in part)]
    merged.sort(key=lambda record: record["at_ms"])
    return run._replace(records=merged)


def _with_submission(run, token, **fields):
    added = bench_observations.submission(token, **fields)
    return run._replace(submissions=[*run.submissions, added])


def _starting_twice(run, idempotent, **fields):
    run = _with_submission(run, "token-t", idempotent=idempotent)
    return _with_runs(
        run,
        bench_observations.run("t", _NOW, _NOW + 5, state="failed", **fields),
        bench_observations.run("t", _NOW + 6, _NOW + 9, "w2", **fields),
    )


@_case("a non-idempotent request started twice")
def _request_twice(run):
    return _starting_twice(run, idempotent=False)


@_case("a non-idempotent job task started twice")
def _job_task_twice(run):
    return _starting_twice(run, idempotent=False, mode="job")


@_case("a request started again elsewhere")
def _again(run):
    return _starting_twice(run, idempotent=True)


@_case("a task running on two workers")
def _two_places(run):
    return _with_runs(
        run,
        bench_observations.run("t", _NOW, _NOW + 50, mode="job"),
        bench_observations.run("t", _NOW + 49, _NOW + 90, "w2", mode="job"),
    )


def _with_attempts(run, ids, gap_ms, state="finished"):
    fields = {"token": "token-j", "mode": "job", "state": state}
    parts = [
        bench_observations.run(
            task_id,
            _NOW + index * gap_ms,
            _NOW + index * gap_ms + 50,
            f"w{index}",
            **fields,
        )
        for index, task_id in enumerate(ids)
    ]
    return _with_runs(run, *parts)


@_case("a task running twice under two attempt ids")
def _two_attempts(run):
    return _with_attempts(run, ["j~0~a", "j~0~b"], 10)


@_case("more tasks of a job at once than it has")
def _too_many_tasks(run):
    run = _with_attempts(run, ["x", "y", "z"], 10)
    return _with_job(run, reported="finished")


@_case("a single run started again by another id")
def _single_run_again(run):
    run = _with_submission(run, "token-j", idempotent=False)
    return _with_attempts(run, ["j~0~a", "j~0~b"], 60)


@_case("a single run with too many starts")
def _single_run_too_often(run):
    run = _with_submission(run, "token-j", idempotent=False)
    run = _with_attempts(run, ["x", "y", "z"], 60)
    return _with_job(run, idempotent=False)


@_case("a task finished twice and its sibling never")
def _sibling_missing(run):
    run = _with_attempts(run, ["j~0~a", "j~0~b"], 60)
    return _with_job(run, reported="finished")


@_case("a start refused for lack of room")
def _refused_start(run):
    record = {**bench_observations.start("t", _NOW), "event": "violation"}
    return _with_runs(run, [record])


@_case("more tasks on a worker than it has slots")
def _too_many_slots(run):
    parts = [bench_observations.run(f"t{n}", _NOW, _NOW + 9) for n in range(9)]
    return _with_runs(run, *parts)


@_case("more memory on a worker than it has")
def _too_much_memory(run):
    resources = {"slots": 1, "memory_mib": 40_000}
    parts = [
        bench_observations.run(f"t{n}", _NOW, _NOW + 9, resources=resources)
        for n in range(2)
    ]
    return _with_runs(run, *parts)


def _with_running(run, count, at_ms):
    parts = [
        bench_observations.run(f"t{n}", at_ms, at_ms + 9, f"w{n}")
        for n in range(count)
    ]
    return _with_runs(run, *parts)


@_case("a team above its limit")
def _above_limit(run):
    return _with_running(run, 13, _NOW + 1_000)


@_case("a team above a limit lowered long ago")
def _above_lowered(run):
    change = observations.LimitChange("claims", 4, _NOW)
    return _with_running(run._replace(limits=[change]), 5, _NOW + 10_001)


@_case("a team above a limit lowered just now")
def _above_just_lowered(run):
    change = observations.LimitChange("claims", 4, _NOW)
    return _with_running(run._replace(limits=[change]), 5, _NOW + 9_999)


@_case("a limit lowered during a cut")
def _lowered_in_cut(run):
    change = observations.LimitChange("claims", 4, _NOW)
    cut = observations.Disturbance("cut", "centro-a", _NOW - 5, _NOW + 8_000)
    run = run._replace(limits=[change], disturbances=[cut])
    return _with_running(run, 5, _NOW + 17_000)


@_case('work that ran after "not run"')
def _false_not_run(run):
    return _with_runs(run, bench_observations.run("refused", _NOW, _NOW + 9))


@_case("an unknown request that ran")
def _unknown_ran(run):
    return _with_runs(run, bench_observations.run("unknown", _NOW, _NOW + 9))


@_case("a repeat refused after the first ran")
def _repeat_refused(run):
    return _with_submission(run, "token-good", outcome="refused", ran="no")


@_case("an answer with the token of another")
def _wrong_answer(run):
    return _with_submission(run, "token-w", correct=False)


def _with_withdrawal(run, sent_ms):
    withdrawal = observations.Withdrawal("key-9", _NOW)
    run = _with_submission(run, "token-k", key_id="key-9", sent_ms=sent_ms)
    run = _with_runs(
        run, bench_observations.run("k", sent_ms + 9, sent_ms + 10)
    )
    return run._replace(withdrawals=[withdrawal])


@_case("work for a withdrawn key")
def _withdrawn(run):
    return _with_withdrawal(run, _NOW + 5_001)


@_case("work sent just before a key's withdrawal")
def _just_withdrawn(run):
    return _with_withdrawal(run, _NOW - 1)


@_case("work for a withdrawn key in a cut zone")
def _withdrawn_in_cut(run):
    cut = observations.Disturbance("cut", "centro-a", _NOW - 5, _NOW + 8_000)
    return _with_withdrawal(run._replace(disturbances=[cut]), _NOW + 7_000)


def _with_leaving(run, after_ms, event):
    leaving = {
        "event": "leaving",
        "leaving": True,
        "worker": "w1",
        "at_ms": _NOW + 1_000,
    }
    at_ms = _NOW + 1_000 + after_ms
    if event == "start":
        return _with_runs(
            run, [leaving], bench_observations.run("t", at_ms, at_ms + 9)
        )
    refused = {**bench_observations.start("t", at_ms), "event": "refused"}
    return _with_runs(run, [leaving, {**refused, "code": "leaving"}])


@_case("a start on a worker leaving for 6 s")
def _start_leaving(run):
    return _with_leaving(run, 6_000, "start")


@_case("a refusal by a worker leaving for 6 s")
def _refused_leaving(run):
    return _with_leaving(run, 6_000, "refused")


@_case("a start on a worker leaving for 1 s")
def _start_just_leaving(run):
    return _with_leaving(run, 1_000, "start")


def _with_job(run, **fields):
    return run._replace(jobs=[bench_observations.job("token-j", **fields)])


@_case("a job that never finished")
def _unfinished(run):
    return _with_job(run, reported="running")


@_case("a job reported finished with a task missing")
def _task_missing(run):
    fields = {"token": "token-j", "mode": "job"}
    run = _with_runs(
        run, bench_observations.run("j1", _NOW, _NOW + 9, **fields)
    )
    return _with_job(run, reported="finished")


@_case("a job reported failed without a failure")
def _failed_without_failure(run):
    return _with_job(run, reported="failed")


def _with_failed_job(run, state, idempotent):
    fields = {"token": "token-j", "mode": "job", "state": state}
    run = _with_runs(
        run, bench_observations.run("j1", _NOW, _NOW + 9, **fields)
    )
    return _with_job(run, reported="failed", idempotent=idempotent)


@_case("a job reported failed as its worker died")
def _failed_by_kill(run):
    return _with_failed_job(run, "killed", idempotent=True)


@_case("a single run failed as its worker died")
def _single_run_killed(run):
    return _with_failed_job(run, "killed", idempotent=False)


@_case("a job reported failed after a failure")
def _failed(run):
    return _with_failed_job(run, "failed", idempotent=True)


@_case("a cancelled job that never finished")
def _cancelled(run):
    return _with_job(run, cancelled=True)


@_case("a job reported impossible")
def _impossible(run):
    return _with_job(run, reported="impossible")


@_case("a service that no longer runs")
def _service_gone(run):
    fields = {"token": "token-j", "mode": "job", "state": "lapsed"}
    run = _with_runs(
        run, bench_observations.run("j1", _NOW, _NOW + 9, **fields)
    )
    return _with_job(run, tasks=1, endless=True)


@_case("a service that still runs")
def _service_runs(run):
    fields = {"token": "token-j", "mode": "job"}
    run = _with_runs(run, [bench_observations.start("j1", _NOW, **fields)])
    return _with_job(run, tasks=1, endless=True)


def _with_interruption(run, at_ms):
    stop = observations.PlannedStop("e1", _NOW, _NOW + 500, 0, False)
    record = {"event": "interrupted", "entry": "e1", "at_ms": at_ms}
    return run._replace(stops=[stop], interruptions=[record])


@_case("a request broken off by a planned stop")
def _broken_off(run):
    return _with_interruption(run, _NOW + 499)


@_case("a request broken off by a crash")
def _crashed(run):
    return _with_interruption(run, _NOW - 1)


@_case("a planned stop that had to be killed")
def _killed(run):
    stop = observations.PlannedStop("e1", _NOW, _NOW + 500, -9, True)
    return run._replace(stops=[stop])


def _seeing(run, *versions, text="text"):
    seen = [
        observations.VersionSeen("e1", version, text, _NOW + index)
        for index, version in enumerate(versions)
    ]
    accepted = [
        observations.VersionAccepted(version, "text", _NOW)
        for version in (1, 2)
    ]
    return run._replace(versions_seen=seen, versions_accepted=accepted)


@_case("a version that goes back")
def _goes_back(run):
    return _seeing(run, 1, 2, 1)


@_case("an entry that never saw the last version")
def _left_behind(run):
    return _seeing(run, 1, 1)


@_case("a text that differs in one version")
def _text_differs(run):
    return _seeing(run, 2, text="other")


@_case("a version accepted twice")
def _accepted_twice(run):
    run = _seeing(run, 1, 2)
    accepted = [*run.versions_accepted, run.versions_accepted[1]]
    return run._replace(versions_accepted=accepted)


@given("the observations of a clean run")
def clean_run(context):
    context.observations = bench_observations.clean()


@given('the observations also include "{case}"')
def add_case(context, case):
    context.observations = _cases[case](context.observations)


@then("the verdict passes")
def verdict_passes(context):
    verdict = checker.check_run(context.observations)
    assert verdict.passed, verdict.violations


@then("the verdict has every promised field")
def verdict_fields(context):
    fields = checker.check_run(context.observations).fields
    assert not set(_PROMISED) - set(fields), fields


@then('the verdict says that "{field}" is {value:d}')
def verdict_says(context, field, value):
    fields = checker.check_run(context.observations).fields
    assert fields[field] == value, fields


@then('the verdict counts {count:d} of "{field}" and nothing else')
def verdict_counts(context, count, field):
    verdict = checker.check_run(context.observations)
    found = {
        name: verdict.fields[name]
        for name in checker.INVARIANT_FIELDS
        if verdict.fields[name]
    }
    assert found == {field: count}, verdict.violations
    assert not verdict.passed


_histories = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 60),
        strategies.integers(1, 30),
        strategies.sampled_from(["w1", "w2"]),
        strategies.sampled_from("abc"),
    ),
    max_size=30,
)


@then("the checks agree with a direct count for random histories")
def checks_agree(context):
    @hypothesis.given(_histories)
    def check(history):
        parts = [
            bench_observations.run(
                f"{unit}{index}",
                at,
                at + length,
                worker,
                token=unit,
                team="public",
            )
            for index, (at, length, worker, unit) in enumerate(history)
        ]
        run = _with_runs(
            bench_observations.clean()._replace(records=[]), *parts
        )
        fields = checker.check_run(run).fields
        overlaps = [
            sum(
                other_at <= moment < other_at + other_length
                for other_at, other_length, _, _ in history
            )
            for moment in range(100)
        ]
        assert bool(fields["over_limit"]) == (max(overlaps) > 6)
        shared = any(
            unit == other_unit
            and at < other_at + other_length
            and other_at < at + length
            for index, (at, length, _, unit) in enumerate(history)
            for other_at, other_length, _, other_unit in history[:index]
        )
        assert bool(fields["two_places"]) == shared

    check()


@given('the zone "{zone}" was cut off while it answered 3 of 4 lookups')
def cut_off_zone(context, zone):
    cut = observations.Disturbance("cut", zone, _NOW, _NOW + 1_000)
    run = context.observations._replace(disturbances=[cut], submissions=[])
    for number in range(3):
        run = _with_submission(run, f"served-{number}", zone=zone)
    run = _with_submission(run, "lost", zone=zone, outcome="unknown")
    run = _with_submission(run, "other-zone", zone="b", outcome="unknown")
    run = _with_submission(
        run, "later", zone=zone, sent_ms=_NOW + 1_001, outcome="unknown"
    )
    context.observations = run


@then("the verdict says that {percent:d} percent were served while cut off")
def served_while_cut_off(context, percent):
    fields = checker.check_run(context.observations).fields
    assert fields["cut_zone_served"] == percent / 100, fields
