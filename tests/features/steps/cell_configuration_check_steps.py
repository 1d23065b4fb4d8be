"""Steps for the check of a configuration."""

from __future__ import annotations

import json

from behave import given
from behave import step
from behave import then

from marigoldgap.cell import configuration_check
from marigoldgap.platform import decoding
from marigoldgap.platform import documents
from tests.fixtures import configuration_documents


def _decode(fields):
    return documents.decode_candidate(json.dumps(fields).encode())


def _find(context):
    return configuration_check.find(
        _decode(context.document), context.configuration_in_force
    )


def _show(finding):
    return f"{finding.severity.value} {finding.code}"


@given("a configuration without faults")
def create(context):
    context.document = configuration_documents.create_document()
    context.configuration_in_force = None


@step('a queue "{name}" with {field} {value}')
def add_queue(context, name, field, value):
    # Only one of host and prefix differs from those of the first queue.
    prefix = (
        configuration_documents.QUEUE["prefix"]
        if field == "host"
        else f"/{name}"
    )
    queue = {**configuration_documents.QUEUE, "name": name, "prefix": prefix}
    context.document["routes"].append({**queue, field: json.loads(value)})


@step("its queue has a stretch of {stretch:g} and a target of {target:g} ms")
def set_objective(context, stretch, target):
    context.document["routes"][0].update(
        stretch=stretch, targetDurationMs=target
    )


@step('a workspace "{name}" with the keys "{keys}"')
@step('a workspace "" with the keys "{keys}"')
def add_workspace(context, keys, name=""):
    context.document["tenants"].append(
        {"name": name, "apiKeys": keys.split(",")}
    )


@step('a workspace "{name}" without keys')
def add_workspace_without_keys(context, name):
    context.document["tenants"].append({"name": name})


@step('its workspace has the keys "{keys}"')
def set_keys(context, keys):
    context.document["tenants"][0]["apiKeys"] = keys.split(",")


@step("its workspace is limited to {cpu:d} millicores and {memory:d} MiB")
def limit_workspace(context, cpu, memory):
    context.document["tenants"][0]["cap"] = {"cpu": cpu, "memMb": memory}


@step("its header timeout is {header:d} ms and its idle timeout {idle:d} ms")
def set_timeouts(context, header, idle):
    context.document["limits"] = {
        "headerTimeoutMs": header,
        "idleTimeoutMs": idle,
    }


@step("version {version:d} of the same content is in force")
def put_in_force(context, version):
    context.configuration_in_force = _decode(
        {**context.document, "version": version}
    ).configuration


@step("the last queue and the last workspace are removed")
def remove_last(context):
    del context.document["routes"][-1]
    del context.document["tenants"][-1]


@step('its field "{field}" becomes {value}')
def set_field(context, field, value):
    context.document[field] = json.loads(value)


@step('its field "{field}" is removed')
def remove_field(context, field):
    del context.document[field]


@then("nothing is found")
def nothing_found(context):
    assert _find(context) == [], _find(context)


@then('the findings are "{expected}" about "{subject}"')
@then('the findings are "" about "{subject}"')
def findings_about(context, subject, expected=""):
    found = _find(context)
    assert ", ".join(_show(each) for each in found) == expected, found
    assert all(each.subject == subject for each in found), found


@then("the findings are")
def findings_are(context):
    found = [(_show(each), each.subject) for each in _find(context)]
    assert found == [tuple(row) for row in context.table], found


@then('no finding contains "{text}"')
def no_finding_contains(context, text):
    assert not any(text in str(each) for each in _find(context))


@then('a finding says "{text}"')
def finding_says(context, text):
    found = _find(context)
    assert any(text in each.text for each in found), found


@then("it cannot be decoded")
def not_decodable(context):
    try:
        decoded = _decode(context.document)
    except decoding.FormatError:
        return
    raise AssertionError(decoded)
