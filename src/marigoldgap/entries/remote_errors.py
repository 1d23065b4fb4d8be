"""Errors that travel between instances as their codes."""

from __future__ import annotations

from marigoldgap import errors
from marigoldgap.entries import messages


def to_failure(error: errors.MarigoldgapError) -> messages.Failure:
    """Returns the message that reports an error to the caller."""
    if isinstance(error, errors.WorkerRefusedError):
        return messages.Failure(error.code, error.reason)
    return messages.Failure(error.code, error.detail)


def from_failure(failure: messages.Failure) -> errors.MarigoldgapError:
    """Returns the error that a Failure reports.

    An unknown code becomes the base error, whose outcome is unknown.
    """
    error_type = _types_by_code().get(failure.code, errors.MarigoldgapError)
    return error_type(failure.detail)


def _types_by_code() -> dict[str, type[errors.MarigoldgapError]]:
    """Returns all error types by their codes."""
    found: dict[str, type[errors.MarigoldgapError]] = {}
    waiting = [errors.MarigoldgapError]
    while waiting:
        error_type = waiting.pop()
        found.setdefault(error_type.code, error_type)
        waiting.extend(error_type.__subclasses__())
    return found
