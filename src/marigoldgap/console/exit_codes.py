"""Exit codes of the command line."""

from __future__ import annotations

from marigoldgap import errors

OK = 0
FAILURE = 1
# The exit code of click for invalid options and arguments.
USAGE = 2
CONFLICT = 3
NOT_IN_FORCE = 4


def for_error(error: errors.MarigoldgapError) -> int:
    """Returns the exit code for an error."""
    return CONFLICT if isinstance(error, errors.ConflictError) else FAILURE
