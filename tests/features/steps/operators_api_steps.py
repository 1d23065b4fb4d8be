"""Steps for the operators API."""

from __future__ import annotations

import json

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap import http_client
from marigoldgap.operators import registry
from tests.fixtures import loops
from tests.fixtures import operator_fleet
from tests.fixtures import rules_texts

_ROUTES = sorted({(method, path) for method, path, _ in registry._handlers})


def _call(context, method, path, body=b"", key=operator_fleet.OPERATOR_KEY):
    headers = {"authorization": f"Bearer {key}"} if key else {}
    address = context.instance_addresses[0]
    path = path.replace("{key_id}", "0123456789abcdef")
    path = path.replace("{kind}", "team").replace("{name:path}", "claims")

    async def exchange():
        client = http_client.HttpClient(1)
        try:
            return await client.exchange(method, address, path, headers, body)
        finally:
            await client.close()

    return loops.run(context, exchange())


def _apply(context, **changes):
    values = {"base_version": 1, "text": rules_texts.EXAMPLE, "author": "ana"}
    body = json.dumps(values | changes).encode()
    context.api_answer = _call(context, "POST", "/v1/operators/rules", body)


@then("every route of the operators API responds with 401 without the key")
def key_needed(context):
    assert len(_ROUTES) == 11, _ROUTES
    for method, path in _ROUTES:
        for key in ("", "wrong"):
            answer = _call(context, method, path, key=key)
            assert answer.status == 401, (method, path, answer)


@then("any body to any route gets a response or a problem with a code")
def any_body(context):
    leaves = strategies.none() | strategies.integers() | strategies.text()
    names = strategies.sampled_from(["text", "author", "team", "base_version"])
    bodies = strategies.dictionaries(names, leaves) | leaves
    raw = bodies.map(lambda body: json.dumps(body).encode())

    @hypothesis.given(
        strategies.sampled_from(_ROUTES), raw | strategies.binary(max_size=20)
    )
    @hypothesis.settings(max_examples=150)
    def check(route, body):
        method, path = route
        answer = _call(context, method, path, b"" if method == "GET" else body)
        assert answer.status in {200, 400, 404, 409, 422}, answer
        if answer.status != 200:
            assert json.loads(answer.body)["code"] != "internal-error"

    check()


@then("the configuration is still at version 1")
def version_unchanged(context):
    assert context.fleet.members[0].config.state.version == 1


@when('rules are applied by the author "{author}"')
def apply_by(context, author):
    _apply(context, author=author.replace("\\x1b", "\x1b"))


@when('rules are applied on version {base:d} by the author "{author}"')
def apply_on(context, base, author):
    _apply(context, base_version=base, author=author, text="# other\n")


@when('the text "{rules}" is applied as rules')
def apply_text(context, rules):
    _apply(context, text=rules)


@then('the API responds with status {status:d} and code "{code}"')
def api_answers(context, status, code):
    assert context.api_answer.status == status, context.api_answer
    assert json.loads(context.api_answer.body)["code"] == code
