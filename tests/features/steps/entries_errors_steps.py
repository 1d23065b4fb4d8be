"""Steps for errors that travel between instances."""

from __future__ import annotations

import inspect

from behave import then

from marigoldgap import errors
from marigoldgap.callers import problems
from marigoldgap.entries import remote_errors

# Its code is that of errors.NotFoundError; it must be loaded for the check.
_SAME_CODE = problems.HttpError


def _error_types():
    return [
        each
        for _, each in inspect.getmembers(errors, inspect.isclass)
        if issubclass(each, errors.MarigoldgapError)
    ]


@then("every error of the hierarchy keeps type, status and ran between peers")
def errors_keep_type(context):
    del context
    assert _SAME_CODE.code == errors.NotFoundError.code
    for error_type in _error_types():
        known = remote_errors.type_of_code(error_type.code)
        # A more special type may share the code of its base.
        assert issubclass(error_type, known), (error_type, known)
        assert known.status == error_type.status, (error_type, known)
        assert known.ran is error_type.ran, (error_type, known)
