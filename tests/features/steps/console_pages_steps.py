"""Steps that compare the operator documentation with the program."""

from __future__ import annotations

import importlib
import pathlib
import pkgutil
import re

from behave import then

import marigoldgap
from marigoldgap import errors
from marigoldgap.console import exit_codes
from marigoldgap.metrics import names
from marigoldgap.rules import parser

_DOCS = pathlib.Path(__file__).parents[3] / "docs"


def _page(name):
    return (_DOCS / name).read_text()


def _example():
    blocks = re.findall(r"```\n(.*?)```", _page("rules.md"), re.DOTALL)
    return next(block for block in blocks if block.startswith("team claims"))


def _error_types(root=errors.MarigoldgapError):
    yield root
    for error_type in root.__subclasses__():
        yield from _error_types(error_type)


@then("the operations page has a row for every metric with its kind")
def metrics_listed(context):
    page = _page("OPERATIONS.md")
    for metric in names.all_metrics():
        assert f"| `{metric.name}` | {metric.kind} |" in page, metric.name


@then("the operations page states for every error code whether the request ran")
def errors_listed(context):
    # Any package may define errors; importing all modules finds them.
    for module in pkgutil.walk_packages(marigoldgap.__path__, "marigoldgap."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    rows = [line.split("|") for line in _page("OPERATIONS.md").split("\n")]
    ran_by_code = {
        code: row[2].strip()
        for row in rows
        if len(row) == 5
        for code in re.findall(r"`([a-z-]+)`", row[1])
    }
    # Excludes the errors of the load tool in bench, which operators never see.
    owned = [
        e for e in _error_types() if e.__module__.startswith("marigoldgap.")
    ]
    for error_type in owned:
        assert ran_by_code[error_type.code] == error_type.ran.value, error_type


@then("the operations page has every exit code")
def exit_codes_listed(context):
    codes = [v for k, v in vars(exit_codes).items() if k.isupper()]
    assert len(codes) == 5
    for code in codes:
        assert f"\n| {code} | " in _page("OPERATIONS.md"), code


@then("the example on the rules page parses without a problem")
def example_valid(context):
    assert parser.find_problems(_example()) == []


@then("the rules page shows the problem that its typing error gives")
def typing_error_shown(context):
    invalid = _example().replace("share 40", "shar 40")
    [problem] = parser.find_problems(invalid)
    assert problem.description in _page("rules.md"), problem
