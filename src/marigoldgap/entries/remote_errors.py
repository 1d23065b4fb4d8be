"""Errors that travel between instances as their codes."""

from __future__ import annotations

import collections

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
    return type_of_code(failure.code)(failure.detail)


def type_of_code(code: str) -> type[errors.MarigoldgapError]:
    """Returns the error type with a code, or the base type.

    The search goes from the base outwards and in the order of definition, so
    that a type of another package never replaces one of the hierarchy.
    """
    waiting = collections.deque([errors.MarigoldgapError])
    while waiting:
        error_type = waiting.popleft()
        if error_type.code == code:
            return error_type
        waiting.extend(error_type.__subclasses__())
    return errors.MarigoldgapError
