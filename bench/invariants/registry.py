"""Registry of checks, filled by a decorator."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from bench import evidence
from bench import spans


class Case(NamedTuple):
    """What a check looks at."""

    evidence: evidence.Evidence
    history: list[spans.Span]

    def starts_by_token(self) -> dict[str, list[spans.Span]]:
        """Returns all starts of each caller's token."""
        found: dict[str, list[spans.Span]] = {}
        for span in self.history:
            found.setdefault(span.token, []).append(span)
        return found


# A check returns one line for each violation.
Check = Callable[[Case], list[str]]
_checks: dict[str, Check] = {}


def invariant(field: str) -> Callable[[Check], Check]:
    """Registers the check that counts a field of the verdict."""

    def add(check: Check) -> Check:
        _checks[field] = check
        return check

    return add


def checks() -> Mapping[str, Check]:
    """Returns the checks by field."""
    return _checks
