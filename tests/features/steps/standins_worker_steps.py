"""Steps for the worker stand-in."""

from __future__ import annotations

import json

from behave import given
from behave import then
from behave import when

from tests.fixtures import standin_http
from tests.fixtures import standin_processes

_START_VALIDITY_MS = 3_600_000


@given("a stand-in worker with 2 slots and a task grace of 300 ms")
def start_worker(context):
    address = standin_processes.free_address()
    control = standin_processes.free_address()
    capacity = {"slots": 2, "connections": 4}
    worker = {
        "worker_id": "w1",
        "zone": "z1",
        "service": "s1",
        "address": address,
        "capacity": capacity,
    }
    file = standin_processes.scratch_file(context, json.dumps([worker]))
    process = standin_processes.start(
        "worker",
        f"--workers-file={file}",
        f"--control={control}",
        "--task-grace-ms=300",
    )
    context.add_cleanup(standin_processes.stop, process)
    context.worker_address = address
    context.worker_control = control
    context.start_changes = {}


def _call(context, method, path, value=None, headers=None):
    return standin_http.call(
        context.worker_address, method, path, value, headers
    )


def _control(context, path, value=None):
    return standin_http.call(
        context.worker_control, "POST", f"/control/workers/w1/{path}", value
    )


def _records(context, event, task_id):
    path = "/control/records"
    answer = standin_http.call(context.worker_control, "GET", path)
    return [
        record
        for record in answer.value["records"]
        if record["event"] == event and record["task_id"] == task_id
    ]


def _lease(context, owner, ttl_ms, known_epoch=0):
    return _call(
        context,
        "POST",
        "/v1/lease",
        {
            "owner": owner,
            "ttl_ms": ttl_ms,
            "known_epoch": known_epoch,
            "since_seq": 0,
        },
    )


def _start(context, task_id, mode="job", payload=None, **changes):
    grant = context.grant
    start = {
        "epoch": grant["epoch"],
        "until": grant["now_ms"] + _START_VALIDITY_MS,
        **changes,
    }
    task = {
        "task_id": task_id,
        "team": "claims",
        "queue": "bundles",
        "resources": {"slots": 1, "connections": 1},
        "job_id": "",
        "attempt": 0,
        "expected_run_ms": None,
    }
    headers = {
        "Marigoldgap-Epoch": str(start["epoch"]),
        "Marigoldgap-Valid-Until-Ms": str(start["until"]),
        "Marigoldgap-Mode": mode,
        "Marigoldgap-Task": json.dumps(task),
    }
    payload = payload or {"token": task_id, "run_ms": None}
    return _call(context, "POST", f"/v1/tasks/{task_id}", payload, headers)


@when('stand-in owner "{owner}" takes the lease for {ttl_ms:d} ms')
def take_lease(context, owner, ttl_ms):
    answer = _lease(context, owner, ttl_ms)
    assert answer.status == 200, answer
    context.previous_grant = getattr(context, "grant", None)
    context.grant = answer.value


@then('stand-in owner "{owner}" is refused the lease that "{holder}" holds')
def lease_held(context, owner, holder):
    answer = _lease(context, owner, 1_000)
    assert answer.status == 409, answer
    assert answer.value["code"] == "lease-held"
    assert answer.value["holder"] == holder
    assert 0 < answer.value["remaining_ms"] <= 60_000


@then('stand-in owner "{owner}" renews the lease with the same epoch')
def renew_lease(context, owner):
    epoch = context.grant["epoch"]
    answer = _lease(context, owner, 60_000, known_epoch=epoch)
    assert answer.value["epoch"] == epoch
    assert "inventory" not in answer.value


@when('stand-in owner "{owner}" releases the lease')
def release_lease(context, owner):
    value = {"owner": owner, "epoch": context.grant["epoch"]}
    assert _call(context, "POST", "/v1/lease/release", value).status == 200


@then("the stand-in lease epoch is {epoch:d}")
def epoch_is(context, epoch):
    assert context.grant["epoch"] == epoch, context.grant


@then('the stand-in inventory is "{task_ids}"')
def inventory_is(context, task_ids):
    found = [task["task_id"] for task in context.grant["inventory"]]
    assert found == task_ids.split(), found


@then('the stand-in inventory is ""')
def inventory_is_empty(context):
    assert context.grant["inventory"] == []


@then("the stand-in incarnation is new")
def incarnation_is_new(context):
    before = context.previous_grant["incarnation"]
    assert context.grant["incarnation"] != before


@when('stand-in job task "{task_id}" is started')
def start_job_task(context, task_id):
    answer = _start(context, task_id)
    assert answer.status == 202, answer


@when('the stand-in start is prepared as "{case}"')
def prepare_start(context, case):
    epoch = context.grant["epoch"]
    if case == "old epoch":
        context.start_changes = {"epoch": epoch - 1}
    elif case == "past deadline":
        context.start_changes = {"until": context.grant["now_ms"] - 1}
    elif case == "tombstone":
        _call(context, "POST", "/v1/tasks/t1/stop", {"epoch": epoch})
    elif case == "running":
        _start(context, "t1")
    elif case == "ended":
        _start(context, "t1")
        _call(context, "POST", "/v1/tasks/t1/stop", {"epoch": epoch})
    elif case == "leaving":
        _control(context, "switches", {"leaving": True})
    elif case == "full":
        _start(context, "t8")
        _start(context, "t9")
    else:
        raise AssertionError(f"unknown case {case}")


@then('the stand-in start of "{task_id}" is refused as "{code}"')
def start_refused(context, task_id, code):
    context.starts_before = len(_records(context, "start", task_id))
    answer = _start(context, task_id, **context.start_changes)
    assert answer.status == 409, answer
    assert answer.value["code"] == code, answer


@then('the stand-in records contain no start of "{task_id}" after that')
def no_start(context, task_id):
    starts = _records(context, "start", task_id)
    assert len(starts) == context.starts_before, starts
    assert len(_records(context, "refused", task_id)) == 1


@then('the stand-in records contain the violation "{code}" of "{task_id}"')
def violation_recorded(context, code, task_id):
    found = [each["code"] for each in _records(context, "violation", task_id)]
    assert found == [code], found


@then('the stand-in records contain the end of "{task_id}" as "{state}"')
def end_recorded(context, task_id, state):
    found = [each["state"] for each in _records(context, "end", task_id)]
    assert found == [state], found


@then('the stand-in reports "{task_id}" as "{state}" to a long poll')
def change_reported(context, task_id, state):
    path = "/v1/changes?since=0&wait_ms=10000"
    changes = _call(context, "GET", path).value["changes"]
    found = [(each["task_id"], each["state"]) for each in changes]
    assert found == [(task_id, state)], found


@then('the stand-in ran "{task_id}" for at least {least_ms:d} ms')
def ran_for(context, task_id, least_ms):
    [start] = _records(context, "start", task_id)
    [end] = _records(context, "end", task_id)
    assert end["at_ms"] - start["at_ms"] >= least_ms


@then(
    'the stand-in responds to request "{task_id}" with token "{token}" and'
    " {size:d} bytes"
)
def request_answered(context, task_id, token, size):
    payload = {"token": token, "run_ms": 1, "answer_bytes": size}
    answer = _start(context, task_id, "request", payload)
    assert answer.status == 200
    assert answer.value["token"] == token
    assert int(answer.headers["content-length"]) == size
    assert answer.headers["marigoldgap-task-id"] == task_id


@when("the stand-in worker is killed")
def kill_worker(context):
    _control(context, "kill")


@when("the stand-in worker is restarted")
def restart_worker(context):
    _control(context, "restart")


@then("the stand-in worker is unreachable")
def worker_unreachable(context):
    try:
        _lease(context, "e1", 1_000)
    except OSError:
        return
    raise AssertionError("the killed worker responded")


@when("the stand-in worker fails all tasks")
def fail_all_tasks(context):
    _control(context, "switches", {"fail_all": True})


@then('the stand-in answers "{action}" of "{task_id}" with "{state}"')
def action_answered(context, action, task_id, state):
    value = {"epoch": context.grant["epoch"]}
    answer = _call(context, "POST", f"/v1/tasks/{task_id}/{action}", value)
    assert answer.value == {"state": state}, answer
