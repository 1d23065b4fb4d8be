"""Steps for the settings loader."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap import errors
from marigoldgap.settings import loader

_VALID = """{
  // The entry instance of the test.
  "instance_id": "entry-1",
  "address": "127.0.0.1:8080",
  "zone": "centro-a", "region": "centro",
  "peer_address": "127.0.0.1:8081",
  "cluster_secret": "0123456789abcdef",
  "operator_key_hash": "%s",
  "platform": {
    "table_address": "127.0.0.1:1", "object_address": "127.0.0.1:2",
    "list_address": "127.0.0.1:3",
  },
}
""" % ("0" * 64)


@given("a settings text with a bad address on line 4 and a missing zone")
def settings_with_errors(context):
    text = _VALID.replace("127.0.0.1:8080", "localhost")
    context.settings_text = text.replace('"zone": "centro-a", ', "")


@given("a valid settings text with comments")
def valid_settings(context):
    context.settings_text = _VALID


@when("the settings are loaded")
def load_settings(context):
    context.error = None
    try:
        context.settings = loader.parse(context.settings_text, "test.json")
    except errors.SettingsError as error:
        context.error = error


@then('the error names line {line:d} and field "{field}"')
def error_names_line(context, line, field):
    assert f"test.json:{line}: {field}:" in context.error.detail


@then('the error names field "{field}"')
def error_names_field(context, field):
    assert f" {field}:" in context.error.detail


@then('the settings belong to instance "{instance_id}"')
def settings_belong_to_instance(context, instance_id):
    assert context.settings.instance_id == instance_id


@then("any text is either valid settings or a settings error")
def fuzz_settings(context):
    @hypothesis.given(strategies.text(alphabet='{}[]":,/*0a \n\\', max_size=60))
    def check(text):
        try:
            loader.parse(text, "fuzz")
        except errors.SettingsError:
            pass

    check()
