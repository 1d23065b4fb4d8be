"""Registry of invariant checks."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from bench import observations
from bench import spans


class Case(NamedTuple):
    """Input of a check: the observations and the spans of a run."""

    observations: observations.Observations
    history: list[spans.Span]

    def starts_by_token(self) -> dict[str, list[spans.Span]]:
        """Returns the spans of each token."""
        found: dict[str, list[spans.Span]] = {}
        for span in self.history:
            found.setdefault(span.token, []).append(span)
        return found


# A check returns one line for each violation.
Check = Callable[[Case], list[str]]
_checks: dict[str, Check] = {}


def invariant(field: str) -> Callable[[Check], Check]:
    """Registers the check for a field of the verdict.

    The value of the field is the number of violations that the check finds.
    """

    def add(check: Check) -> Check:
        _checks[field] = check
        return check

    return add


def checks() -> Mapping[str, Check]:
    """Returns the registered checks by field of the verdict."""
    return _checks
