"""Converts errors to and from messages between instances, by their codes."""

from __future__ import annotations

import collections

from marigoldgap import errors
from marigoldgap.entries import messages


def to_failure(error: errors.MarigoldgapError) -> messages.Failure:
    """Returns the message that reports an error to the calling instance."""
    if isinstance(error, errors.WorkerRefusedError):
        return messages.Failure(error.code, error.reason)
    return messages.Failure(error.code, error.detail)


def from_failure(failure: messages.Failure) -> errors.MarigoldgapError:
    """Returns the error that a Failure reports.

    An unknown code gives the base error, which says that the outcome is
    unknown.
    """
    return type_of_code(failure.code)(failure.detail)


def type_of_code(code: str) -> type[errors.MarigoldgapError]:
    """Returns the error type with a code, or the base type.

    The search is breadth-first from the base, in the order of definition. An
    error type of another package with the same code therefore never hides a
    type of the hierarchy in `errors`.
    """
    unsearched = collections.deque([errors.MarigoldgapError])
    while unsearched:
        error_type = unsearched.popleft()
        if error_type.code == code:
            return error_type
        unsearched.extend(error_type.__subclasses__())
    return errors.MarigoldgapError
