"""Steps for the rules text and its differences."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap import errors
from marigoldgap.rules import difference
from marigoldgap.rules import parser
from tests.fixtures import rules_texts

_WORDS = [
    "team",
    "queue",
    "retry",
    "quarantine",
    "zones",
    "prefer",
    "share",
    "limit",
    "workspace",
    "kind",
    "quick",
    "service",
    "keyed",
    "open",
    "deadline",
    "priority",
    "attempts",
    "budget",
    "after",
    "probe",
    "a",
    "b",
    "1",
    "0",
    "40",
    "6h",
    "10%",
    "#",
    "x",
    "\n",
    "\t",
]


@given("the example rules text")
def example_text(context):
    context.rules_text = rules_texts.EXAMPLE


@given('the example rules text with the line "{line}"')
def example_with_line(context, line):
    line = line.replace("\\x1b", "\x1b")
    context.rules_text = rules_texts.EXAMPLE + line


@given("a rules text with errors on lines 1, 2 and 4")
def text_with_errors(context):
    context.rules_text = "tem a # x\nretry # x\n# nothing\nteam # x"


@when("the rules text is parsed")
def parse_text(context):
    context.problems = parser.find_problems(context.rules_text)
    try:
        context.rules = parser.parse(context.rules_text)
    except errors.RulesError as error:
        for problem in context.problems:
            assert problem.description in error.detail


@then(
    'team "{name}" has share {share:d}, limit {limit:d} and workspace'
    ' "{workspace}"'
)
def team_has(context, name, share, limit, workspace):
    team = context.rules.teams[name]
    assert (team.share, team.limit, team.workspace) == (share, limit, workspace)


@then('queue "{name}" has kind "{kind}"')
def queue_kind(context, name, kind):
    assert context.rules.queues[name].kind == kind


@then('queue "{name}" is open for team "{team}"')
def queue_is_open(context, name, team):
    queue = context.rules.queues[name]
    assert (queue.keyed, queue.team) == (False, team)


@then('queue "{name}" has a deadline of {seconds:d} s and priority {value:d}')
def queue_has(context, name, seconds, value):
    queue = context.rules.queues[name]
    assert (queue.deadline_s, queue.priority) == (seconds, value)


@then('the preferred zones are "{zones}"')
def preferred_zones(context, zones):
    assert context.rules.prefer_zones == tuple(zones.split())


@then('its only problem is at column {column:d} and contains "{part}"')
def only_problem(context, column, part):
    assert len(context.problems) == 1, context.problems
    [problem] = context.problems
    last_line = rules_texts.EXAMPLE.count("\n") + 1
    assert (problem.line, problem.column) == (last_line, column), problem
    assert part in problem.description, problem


@then("problems are reported for lines 1, 2 and 4 in this order")
def problem_lines(context):
    numbers = [problem.line for problem in context.problems]
    assert numbers == sorted(numbers)
    assert set(numbers) == {1, 2, 4}


@then("a problem says that a character cannot be printed")
def character_problem(context):
    assert any("cannot be printed" in p.message for p in context.problems)


def _rules_or_problems(text):
    found = parser.find_problems(text)
    if not found:
        assert parser.parse(text).text == text
    for problem in found:
        assert problem.line >= 1 and problem.column >= 1
        assert problem.message and problem.suggestion


@then("parsing any text made of words of the rules gives rules or problems")
def fuzz_words(context):
    words = strategies.lists(strategies.sampled_from(_WORDS), max_size=40)
    hypothesis.given(words)(lambda each: _rules_or_problems(" ".join(each)))()


@then("parsing any characters gives rules or problems")
def fuzz_characters(context):
    hypothesis.given(strategies.text(max_size=200))(_rules_or_problems)()


@then("applying the differences of any two texts restores the new text")
def differences_restore(context):
    texts = strategies.text(alphabet="ab\r\n ", max_size=30)

    @hypothesis.given(texts, texts)
    def check(old, new):
        assert difference.apply(old, difference.compare(old, new)) == new

    check()


@then("differences made to another text are refused")
def differences_refused(context):
    changes = difference.compare("a\nb", "a\nc")
    try:
        difference.apply("a\nx", changes)
    except errors.ConflictError:
        return
    raise AssertionError("the differences were applied to another text")


@then("the differences of {old:d} and {new:d} repeated lines are one change")
def repeated_lines(context, old, new):
    before = "x\n" + "a\nb\n" * (old // 2) + "y"
    after = "z\n" + "a\nb\n" * (new // 2) + "w"
    changes = difference.compare(before, after)
    assert len(changes) == 1
    assert difference.apply(before, changes) == after
