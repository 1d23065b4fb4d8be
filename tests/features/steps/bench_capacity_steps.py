"""Steps for fits of capacity sweeps and projections from them."""

from __future__ import annotations

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from bench.capacity import fitting
from bench.capacity import projection
from bench.capacity import role_costs
from bench.capacity import roles
from bench.capacity import tables
from marigoldgap import errors

_SERIES = fitting.Series(
    "quick requests", "processor", "member", "requests/s", "ms/s"
)


def _refusal(function, *arguments):
    try:
        function(*arguments)
    except errors.MarigoldgapError as error:
        return error.code
    return "accepted"


def _sum(unit):
    return projection.Sum(1.0, unit, "1")


@then("the fit recovers exact lines with random slopes and intercepts")
def exact_lines(context):
    numbers = strategies.integers(-1_000, 1_000)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        numbers,
        numbers,
        strategies.sets(numbers, min_size=2, max_size=8),
    )
    def check(slope, intercept, values):
        points = [
            fitting.Point(_SERIES, x, intercept + slope * x) for x in values
        ]
        found = fitting.fit(points)
        assert abs(found.slope - slope) < 1e-6
        assert abs(found.intercept - intercept) < 1e-6
        assert found.rms < 1e-6

    check()


@given('the capacity points "{pairs}"')
def capacity_points(context, pairs):
    context.capacity_points = [
        fitting.Point(_SERIES, *map(float, pair.split(":")))
        for pair in pairs.split()
    ]


@given('one more capacity point whose "{field}" is "{other}"')
def other_point(context, field, other):
    series = _SERIES._replace(**{field: other})
    context.capacity_points.append(fitting.Point(series, 2, 3))


@when("the capacity line is fitted")
def fit_line(context):
    context.capacity_fit = fitting.fit(context.capacity_points)


@then("the capacity slope is {slope:g} and the intercept is {intercept:g}")
def line_is(context, slope, intercept):
    found = context.capacity_fit
    assert abs(found.slope - slope) < 1e-9, found
    assert abs(found.intercept - intercept) < 1e-9, found


@then('the capacity residuals are "{residuals}"')
def residuals_are(context, residuals):
    expected = map(float, residuals.split())
    found = context.capacity_fit.residuals
    for each, other in zip(found, expected, strict=True):
        assert abs(each - other) < 1e-9, found


@then('the capacity fit is refused with "{code}"')
def fit_refused(context, code):
    assert _refusal(fitting.fit, context.capacity_points) == code


@then(
    '{count:d} "{unit}" cost {cost:g} "{y_unit}" above the intercept of'
    " {base:g}"
)
def product_is(context, count, unit, cost, y_unit, base):
    number = projection.Number(count, unit)
    context.cost = projection.product(context.capacity_fit, number)
    assert abs(context.cost.value - cost) < 1e-6
    assert context.cost.unit == y_unit
    based = projection.base(context.capacity_fit)
    whole = projection.add((based, context.cost))
    assert abs(whole.value - cost - base) < 1e-6


@then('the arithmetic shows the slope and "{number}"')
def arithmetic_shows(context, number):
    assert context.cost.arithmetic == f"2 x {number}", context.cost


@then('a capacity product with {count:d} "{unit}" is refused with "{code}"')
def product_refused(context, count, unit, code):
    number = projection.Number(count, unit)
    found = _refusal(projection.product, context.capacity_fit, number)
    assert found == code


@then('adding "{one}" to "{other}" is refused with "{code}"')
def addition_refused(context, one, other, code):
    assert _refusal(projection.add, (_sum(one), _sum(other))) == code


@then('comparing "{one}" with a limit in "{other}" is refused with "{code}"')
def comparison_refused(context, one, other, code):
    limit = projection.Limit(1, other)
    assert _refusal(projection.meets, _sum(one), limit) == code


@then("the capacity limits are 4.9% of a core, 128 MB and 9 KB/s")
def limits_are(context):
    assert role_costs.CPU_LIMIT == (0.049 * 1_000, "ms/s")
    assert role_costs.MEMORY_LIMIT == (128, "MiB")
    assert role_costs.BYTES_LIMIT == (9_000, "B/s")


@given(
    "capacity fits of {peer:g} ms/s per peer, {worker:g} ms/s per worker and"
    " base {base:g}"
)
def idle_fits(context, peer, worker, base):
    lines = (
        ("entries in a zone", "coordinator", "peers in the zone", peer, 3),
        ("workers of an entry", "entry", "workers of the entry", worker, base),
        ("rule changes", "coordinator", "changes/s", 0, 77),
    )
    fits = []
    for sweep, role, unit, slope, intercept in lines:
        series = fitting.Series(sweep, "processor", role, unit, "ms/s")
        points = [
            fitting.Point(series, x, intercept + slope * x) for x in (0, 5)
        ]
        fits.append(fitting.fit(points))
    context.capacity_roles = roles.Roles(fits)


@then(
    "control with {entries:d} entry instances costs about {base:g} +"
    " {peers:g} + {workers:g} ms/s"
)
def control_is(context, entries, base, peers, workers):
    cost = context.capacity_roles.control_processor(entries, "coordinator")
    assert abs(cost.value - base - peers - workers) < 0.01, cost


@then("{entries:d} entry instances have the least control cost")
def fewest_is(context, entries):
    found, _ = context.capacity_roles.least_control()
    assert found == entries, found


@then("the capacity points are equal after writing and reading")
def points_survive(context):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "points.jsonl"
        tables.write_points(path, context.capacity_points)
        assert tables.read_points(path) == context.capacity_points


@then(
    "with 3 ms/s per request/s and a peak of 10000 requests/s in 13 zones,"
    " {entries:d} entry instances stay below 750 ms/s each"
)
def entries_taken(context, entries):
    requests = _SERIES._replace(role="entry", x_unit="requests/s of the entry")
    points = [fitting.Point(requests, x, 40 + 3 * x) for x in (0, 50)]
    fits = [*context.capacity_roles.fits, fitting.fit(points)]
    assert roles.Roles(fits).entries_needed() == entries
