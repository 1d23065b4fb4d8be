"""Computes the verdict of a run from its observations."""

from __future__ import annotations

import importlib
import pkgutil
from typing import NamedTuple

from bench import invariants
from bench import measures
from bench import observations
from bench import spans
from bench.invariants import registry

_MAX_LISTED_VIOLATIONS = 20

for _module in pkgutil.iter_modules(invariants.__path__):
    importlib.import_module(f"{invariants.__name__}.{_module.name}")

INVARIANT_FIELDS = tuple(registry.checks())


class Verdict(NamedTuple):
    """The result of all checks and measures of a run.

    Attributes:
        fields: Counts and measures, printed as one JSON object.
        violations: The first violations of each violated invariant, by field.
    """

    fields: dict[str, float | int | None]
    violations: dict[str, list[str]]

    @property
    def passed(self) -> bool:
        """Whether no invariant was violated."""
        return not self.violations


def check_run(run: observations.Observations) -> Verdict:
    """Checks all invariants and computes the measures of a run."""
    case = registry.Case(run, spans.read(run.records))
    found = {field: check(case) for field, check in registry.checks().items()}
    fields: dict[str, float | int | None] = {**_count_outcomes(run)}
    fields.update({field: len(lines) for field, lines in found.items()})
    fields.update(measures.compute(case))
    violations = {
        field: lines[:_MAX_LISTED_VIOLATIONS]
        for field, lines in found.items()
        if lines
    }
    return Verdict(fields, violations)


def _count_outcomes(run: observations.Observations) -> dict[str, int]:
    """Returns the number of submissions by outcome."""
    outcomes = [each.outcome for each in run.submissions]
    refused_not_run = sum(
        each.outcome == "refused" and each.ran == "no"
        for each in run.submissions
    )
    answered = outcomes.count("answered")
    return {
        "sent": len(outcomes),
        "answered": answered,
        "refused_not_run": refused_not_run,
        "unknown": len(outcomes) - answered - refused_not_run,
    }
