"""Steps for the command `configuration check`."""

from __future__ import annotations

import contextlib
import json
import pathlib
import re
import shlex
import tempfile

from behave import given
from behave import step
from behave import then

from tests.fixtures import configuration_documents
from tests.fixtures import operator_fleet

_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
_FILES = ("FILE", "FORMER")


def _section():
    text = _PAGE.read_text()
    return text.split("\n## Check a configuration\n")[1].split("\n## ")[0]


def _write(context, name, fields):
    (context.directory / name).write_text(json.dumps(fields))


def _create_directory(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = pathlib.Path(directory.name)


def _run(context, arguments):
    paths = [
        str(context.directory / each) if each in _FILES else each
        for each in shlex.split(arguments)
    ]
    return operator_fleet.run_command(["configuration", "check", *paths], [])


@given("a configuration file without faults")
def create_file(context):
    _create_directory(context)
    context.document = configuration_documents.create_document()
    _write(context, "FILE", context.document)


@step("a copy of it with version {version:d} as the version in force")
def copy_file(context, version):
    _write(context, "FORMER", {**context.document, "version": version})


@step("the file sets a limit of {cpu:d} millicores")
def set_limit(context, cpu):
    context.document["tenants"][0]["cap"] = {"cpu": cpu}
    _write(context, "FILE", context.document)


@step("the {name} file is {state}")
def damage_file(context, name, state):
    path = context.directory / name
    if state == "missing":
        path.unlink()
    else:
        path.write_bytes(b'{"version": ')


@given("the configuration files of the operations page")
def write_page_files(context):
    _create_directory(context)
    blocks = re.findall(r"```json\n(.*?)```", _section(), re.DOTALL)
    for name, block in zip(("current.json", "new.json"), blocks, strict=True):
        (context.directory / name).write_text(block)


@then('the check of "{arguments}" exits with {code:d} and prints "{text}"')
def exits_and_prints(context, arguments, code, text):
    result = _run(context, arguments)
    assert (result.exit_code, text in result.output) == (code, True), result


@then('the check of "{arguments}" exits with {code:d} and notes "{text}"')
def exits_and_notes(context, arguments, code, text):
    result = _run(context, arguments)
    assert (result.exit_code, text in result.error_output) == (
        code,
        True,
    ), result


@then(
    'the check of "{arguments}" exits with {code:d} and prints the lines of the page'
)
def exits_and_prints_page(context, arguments, code):
    [shown] = re.findall(
        rf"```\n\$ marigoldgap configuration check {re.escape(arguments)}\n(.*?)```",
        _section(),
        re.DOTALL,
    )
    with contextlib.chdir(context.directory):
        result = _run(context, arguments)
    assert (result.exit_code, result.output) == (code, shown), result
