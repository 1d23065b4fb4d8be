"""Steps for the operator commands."""

from __future__ import annotations

import json
import pathlib
import re
import shlex
import tempfile

from behave import given
from behave import step
from behave import then
from behave import when
import typer

from marigoldgap import errors
from marigoldgap.console import application
from marigoldgap.events import types
from tests.fixtures import operator_fleet
from tests.fixtures import rules_texts

_UNREACHABLE = "127.0.0.1:9"


def _run(context, command, **options):
    """Runs a command, with the rules file and the author where needed."""
    arguments = shlex.split(command)
    if arguments[0] == "rules" and arguments[1] in (
        "check",
        "diff",
        "preview",
        "apply",
    ):
        arguments.insert(2, str(context.rules_file))
    if arguments[1:2] in (["apply"], ["grant"], ["withdraw"]):
        arguments += ["--author", "ana"]
    return operator_fleet.run_command(
        arguments, context.instance_addresses, **options
    )


@given("two served instances with the example rules")
def served_instances(context):
    context.fleet = operator_fleet.OperatorFleet()
    context.add_cleanup(context.fleet.stop)
    first = context.fleet.members[0]
    context.instance_addresses = [m.address for m in context.fleet.members]
    context.fleet.run(
        first.config.publisher.apply_rules(0, rules_texts.EXAMPLE, "eva")
    )
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.rules_file = pathlib.Path(directory.name) / "rules.txt"


@given("a rules file without a base version")
def file_without_base(context):
    context.rules_file.write_text(rules_texts.EXAMPLE)


@step('zone "{zone}" is isolated')
def isolate_zone(context, zone):
    zones = operator_fleet.ZONES
    context.fleet.isolated_ids |= {
        name for name in zones if zones[name] == zone
    }


@given("the first address belongs to no instance")
def first_is_unreachable(context):
    context.instance_addresses.insert(0, _UNREACHABLE)


@given(
    "a request that passed through both instances and a third that is unreachable"
)
def request_through_both(context):
    first, second = context.fleet.members
    first.events.ring.record(types.RequestAccepted("t1", "claims", "status"))
    first.events.ring.record(types.TaskForwarded("t1", "entry-2", "full"))
    second.events.clock.observe(first.events.clock.now())
    second.events.ring.record(types.TaskStarted("t1", "w", "claims", "", 0, 1))
    first.events.ring.record(types.RequestAccepted("t2", "claims", "status"))
    context.instance_addresses.append(_UNREACHABLE)


@when('the rules are written to a file by "rules show"')
def show_to_file(context):
    command = f"rules show --output {context.rules_file}"
    assert _run(context, command).exit_code == 0
    assert context.rules_file.read_text().endswith("# base version 1\n")


@when('"{old}" becomes "{new}" in the file')
def edit_file(context, old, new):
    content = context.rules_file.read_text()
    assert old in content
    context.rules_file.write_text(content.replace(old, new))


@when('"{author}" applies another limit on line 1 in the meantime')
def other_operator(context, author):
    publisher = context.fleet.members[1].config.publisher
    other = rules_texts.EXAMPLE.replace("limit 200", "limit 150")
    context.fleet.run(publisher.apply_rules(1, other, author))


@when("the store of the served instances stops")
def store_stops(context):
    context.fleet.run(context.fleet.double.stop())


@when('a key is granted to team "{team}" by command')
def grant_by_command(context, team):
    result = _run(context, f"keys grant {team} --json")
    assert result.exit_code == 0, result
    context.granted_by_command = result.json()


@then('"{command}" succeeds with "{part}"')
def command_succeeds(context, command, part):
    result = _run(context, command)
    assert result.exit_code == 0, result
    assert part in result.output, result


@then('"{command}" exits with {code:d} and notes "{part}"')
def command_notes(context, command, code, part):
    result = _run(context, command)
    assert result.exit_code == code, result
    # Usage errors are wrapped within a frame; joins their lines.
    assert part in re.sub(r"[\s│]+", " ", result.error_output), result


@then('"{command}" exits with {code:d} and prints "{part}"')
def command_prints(context, command, code, part):
    result = _run(context, command)
    assert result.exit_code == code, result
    assert part in result.output, result


@then('"{command}" reports the error code "{code}" as JSON')
def command_json_error(context, command, code):
    result = _run(context, command)
    error = json.loads(result.error_output)["error"]
    assert (error["code"], error["ran"]) == (code, "no"), result


@then('"rules diff" shows the changed line with "{part}"')
def diff_shows(context, part):
    result = _run(context, "rules diff")
    added = [each for each in result.output.split("\n") if each[:1] == "+"]
    assert len(added) == 1 and part in added[0], result


@then('"rules preview" says "{part}"')
def preview_says(context, part):
    result = _run(context, "rules preview")
    assert result.exit_code == 0 and part in result.output, result


@then(
    '"rules preview" shows team "{loser}" as "loses" and team "{other}" as'
    ' "same"'
)
def preview_effects(context, loser, other):
    teams = _run(context, "rules preview --json").json()["teams"]
    effects = {team["team"]: team["effect"] for team in teams}
    assert effects == {loser: "loses", other: "same"}, teams


@then('"rules history" names the author "{author}" and "{part}"')
def history_names(context, author, part):
    versions = _run(context, "rules history --json").json()["versions"]
    assert versions[0]["author"] == author
    assert any(part in line for line in versions[0]["changes"])


@then('"rules explain team claims" says "{part}"')
def explain_says(context, part):
    assert part in _run(context, "rules explain team claims").output


@then('"keys list" shows the key without its secret')
def list_without_secret(context):
    result = _run(context, "keys list")
    key_id, secret = context.granted_by_command["key"].split(".")
    assert key_id in result.output and secret not in result.output


def _withdraw(context):
    key_id = context.granted_by_command["key_id"]
    wait = "0" if context.fleet.isolated_ids else "10"
    return _run(context, f"keys withdraw {key_id} --wait {wait}")


@then('withdrawing the key reports zone "{zone}" as in force')
def withdraw_reports(context, zone):
    result = _withdraw(context)
    assert result.exit_code == 0, result
    assert f"zone {zone}: in force" in result.output, result


@then('withdrawing the key exits with {code:d} and names "{zone}"')
def withdraw_names(context, code, zone):
    result = _withdraw(context)
    assert result.exit_code == code, result
    assert (
        f"not in force everywhere yet: {zone};" in result.error_output
    ), result


@then("both instances refuse the granted key")
def both_refuse(context):
    header = f"Bearer {context.granted_by_command['key']}"
    for member in context.fleet.members:
        try:
            member.config.verifier.verify(header, "status")
        except errors.AuthenticationError:
            continue
        raise AssertionError(f"{member.instance_id} accepts the key")


@then("every command with a wrong operators' key exits with 1")
def wrong_operator_key(context):
    for command in ("rules show", "rules history", "keys list", "status"):
        result = _run(context, command, key="wrong")
        assert result.exit_code == 1, result
        assert "key-invalid" in result.error_output + result.output, result


@then("the timeline of the request shows both instances in causal order")
def timeline_merged(context):
    context.timeline_result = _run(context, "timeline t1")
    lines = context.timeline_result.output.splitlines()
    assert [line.split()[1:3] for line in lines] == [
        ["entry-1", "request-accepted"],
        ["entry-1", "task-forwarded"],
        ["entry-2", "task-started"],
    ], lines


@then(
    "the timeline names the instance that was not reached and exits with"
    " {code:d}"
)
def timeline_gap(context, code):
    assert context.timeline_result.exit_code == code
    assert (
        f"not reached: {_UNREACHABLE}" in context.timeline_result.error_output
    )


@then("the timeline is available as jsonl and as trace")
def timeline_formats(context):
    lines = _run(context, "timeline --format jsonl").output.splitlines()
    assert len([json.loads(line) for line in lines]) == 4
    trace = json.loads(_run(context, "timeline --format trace").output)
    assert len(trace["traceEvents"]) == 2 + 4


@then('"status --json" lists 2 instances with configuration version 1')
def status_lists(context):
    instances = _run(context, "status --json").json()["instances"]
    versions = [each["answer"]["config_version"] for each in instances]
    assert versions == [1, 1], instances


@then('every registered command has the option "{option}"')
def every_command_has(context, option):
    root = typer.main.get_command(application.build())
    groups = [root]
    commands = []
    while groups:
        for command in groups.pop().commands.values():
            target = groups if hasattr(command, "commands") else commands
            target.append(command)
    assert len(commands) >= 18, commands
    for command in commands:
        names = {name for each in command.params for name in each.opts}
        # `serve` runs until it is stopped and prints no result.
        assert option in names or command.name == "serve", command.name
