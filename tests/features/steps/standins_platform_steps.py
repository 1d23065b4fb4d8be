"""Steps for the stand-ins of the platform's services."""

from __future__ import annotations

import http.client
import json
import time

from behave import given
from behave import then
from behave import when

from tests.fixtures import standin_http
from tests.fixtures import standin_processes


@given("a stand-in table")
def start_table(context):
    context.table_address = standin_processes.free_address()
    process = standin_processes.start("table", context.table_address)
    context.add_cleanup(standin_processes.stop, process)


def _commit(context, puts, checks=()):
    value = {
        "checks": [{"key": key, "version": each} for key, each in checks],
        "puts": [{"key": key, "value": {"of": key}} for key in puts],
    }
    return standin_http.call(
        context.table_address, "POST", "/v1/transactions", value
    )


def _row(context, key, headers=None):
    return standin_http.call(
        context.table_address, "GET", f"/v1/rows/{key}", headers=headers
    )


@when('the stand-in table commits "{key}" if it has version {version:d}')
def commit_row(context, key, version):
    answer = _commit(context, [key], [(key, version)])
    assert answer.status == 200, answer
    context.table_version = answer.value["version"]


@then(
    'the stand-in table reports a failed check of "{key}" when "{same}" must be'
    ' new and "{other}" is put'
)
def commit_conflicts(context, key, same, other):
    answer = _commit(context, [other], [(same, 0)])
    assert answer.status == 409
    assert answer.value == {"failed": [key]}


@then('the stand-in table has no row "{key}"')
def no_row(context, key):
    assert _row(context, key).status == 404


@then('the stand-in table has a row "{key}"')
def has_row(context, key):
    assert _row(context, key).value["value"] == {"of": key}


@then('the stand-in table answers 304 for "{key}" with its version')
def not_modified(context, key):
    headers = {"If-None-Match": str(context.table_version)}
    assert _row(context, key, headers).status == 304
    headers = {"If-None-Match": str(context.table_version + 1)}
    assert _row(context, key, headers).status == 200


def _scan(context, prefix, after):
    path = f"/v1/rows?prefix={prefix}&after={after}&limit=2"
    answer = standin_http.call(context.table_address, "GET", path)
    return [row["key"] for row in answer.value["rows"]]


@then('the stand-in table scan of "{prefix}" after "{after}" is "{keys}"')
def scan_after(context, prefix, after, keys):
    assert _scan(context, prefix, after) == keys.split()


@then('the stand-in table scan of "{prefix}" after "" is "{keys}"')
def scan_all(context, prefix, keys):
    assert _scan(context, prefix, "") == keys.split()


@when("the stand-in table withholds {count:d} response")
def withhold_responses(context, count):
    value = {"lose_answers": count}
    standin_http.call(context.table_address, "POST", "/control", value)


@then('the stand-in table closes the connection of a commit of "{key}"')
def commit_connection_closed(context, key):
    try:
        _commit(context, [key])
    except (OSError, http.client.HTTPException):
        return
    raise AssertionError("the commit got a response")


@when('the stand-in table outage is "{outage}"')
def set_outage(context, outage):
    value = {"outage": outage}
    standin_http.call(context.table_address, "POST", "/control", value)


@then('the stand-in table answers 503 for "{key}"')
def unavailable(context, key):
    assert _row(context, key).status == 503


@then("the stand-in table refuses a transaction of {count:d} rows")
def too_many_rows(context, count):
    answer = _commit(context, [f"many/{index}" for index in range(count)])
    assert answer.status == 400


@given('a stand-in list of entry "{name}" with a lag of {lag_ms:d} ms')
def start_list(context, name, lag_ms):
    instance = {
        "id": name,
        "kind": "entry",
        "zone": "z1",
        "address": "10.0.0.1:80",
        "addresses_from": {"z2": {"address": "10.0.0.2:80"}},
    }
    file = standin_processes.scratch_file(context, json.dumps([instance]))
    context.list_addresses = {
        zone: standin_processes.free_address() for zone in ("z1", "z2")
    }
    listen = [
        f"--listen={zone}={address}"
        for zone, address in context.list_addresses.items()
    ]
    process = standin_processes.start(
        "instance_list",
        f"--instances-file={file}",
        f"--lag-ms={lag_ms}",
        *listen,
    )
    context.add_cleanup(standin_processes.stop, process)


@then(
    'zone "{zone}" of the stand-in list sees "{name}" at "{address}" as'
    ' "{state}"'
)
def list_shows(context, zone, name, address, state):
    listed = standin_http.call(
        context.list_addresses[zone], "GET", "/v1/instances"
    )
    [found] = listed.value["instances"]
    assert found["id"] == name
    assert (found["address"], found["state"]) == (address, state), found


@when('"{name}" of the stand-in list becomes "{state}"')
def change_list_state(context, name, state):
    path = f"/control/instances/{name}"
    value = {"state": state}
    standin_http.call(context.list_addresses["z1"], "POST", path, value)


@when("{wait_ms:d} ms pass for the stand-in list")
def list_time_passes(context, wait_ms):
    time.sleep(wait_ms / 1_000)


@given("a stand-in object store")
def start_objects(context):
    context.objects_address = standin_processes.free_address()
    process = standin_processes.start("objects", context.objects_address)
    context.add_cleanup(standin_processes.stop, process)


@then(
    "the stand-in object store returns stored objects until they are" " deleted"
)
def objects_kept(context):
    def call(method, value=None):
        path = "/v1/objects/jobs/one"
        return standin_http.call(context.objects_address, method, path, value)

    assert call("GET").status == 404
    assert call("PUT", {"bytes": "x" * 100_000}).status == 200
    assert call("GET").value == {"bytes": "x" * 100_000}
    assert call("DELETE").status == 200
    assert call("GET").status == 404
