"""Keeps an unexpected error to the worker, run or call that it concerns.

What one entry of the store or one worker's answer leads to may end no leadership: the
next leader would meet it again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures

_log = decision_log.DecisionLogger("containment")

# Interval between two lines for the same subject, as a stack takes much longer to
# write than the error to handle.
_LINE_INTERVAL_S = 1.0
# Pauses before failed work is repeated: the first one, and the longest.
_INITIAL_PAUSE_S = 0.25
_MAX_PAUSE_S = 4.0
# Time without an error after which the next pause is the first one again.
_STEADY_S = 10.0


class UnexpectedError(errors.MarigoldgapError):
    """A call or the handling of its answer failed with an unexpected error."""

    code = "unexpected-error"


class GrowingPause:
    """Pauses before failed work is repeated; each is twice the one before.

    Args:
        initial_s: First pause, in seconds.
        max_s: Longest pause, in seconds.
    """

    def __init__(
        self, initial_s: float = _INITIAL_PAUSE_S, max_s: float = _MAX_PAUSE_S
    ) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._next_s = initial_s

    def next_s(self) -> float:
        """Returns the pause in seconds after a further failure."""
        pause_s = self._next_s
        self._next_s = min(2 * pause_s, self._max_s)
        return pause_s

    def reset(self) -> None:
        """Records that the work succeeded."""
        self._next_s = self._initial_s


class _ErrorLog:
    """Logs errors, at most one for each subject in an interval."""

    def __init__(self) -> None:
        self._logged_s: dict[str, float] = {}
        self._omitted: dict[str, int] = {}

    def add(self, subject: str, error: Exception, detail: str) -> None:
        now = clock.now_s()
        logged_s = self._logged_s.get(subject, float("-inf"))
        if now - logged_s < _LINE_INTERVAL_S:
            self._omitted[subject] = self._omitted.get(subject, 0) + 1
            return
        self._logged_s[subject] = now
        _log.exception(
            "unexpected_error",
            subject=subject,
            concerns=detail,
            cause=repr(error),
            omitted=self._omitted.pop(subject, 0),
        )


_error_log = _ErrorLog()


def record(subject: str, error: Exception, detail: str = "") -> None:
    """Logs and counts an unexpected error that is being handled.

    Args:
        subject: Kind of the work that failed; one of a few.
        error: The error.
        detail: Worker, run or row that it concerns.
    """
    measures.UNEXPECTED_ERRORS.labels(subject).inc()
    _error_log.add(subject, error, detail)


@contextlib.contextmanager
def contained(subject: str, detail: str) -> Iterator[None]:
    """Replaces an unexpected error by one that callers handle.

    Args:
        subject: Kind of the work; one of a few.
        detail: Worker, run or row that it concerns.

    Raises:
        UnexpectedError: The work failed with an unexpected error.
    """
    try:
        yield
    except errors.MarigoldgapError:
        raise
    except Exception as error:
        record(subject, error, detail)
        raise UnexpectedError(repr(error)) from error


@contextlib.contextmanager
def suppressed(subject: str, detail: str) -> Iterator[None]:
    """Goes on after an error, so that it costs only what it concerns.

    Args:
        subject: Kind of the work; one of a few.
        detail: Worker, run or row that it concerns.
    """
    try:
        yield
    except Exception as error:
        record(subject, error, detail)


async def repeat_until_done(
    subject: str, detail: str, work: Callable[[], Awaitable[None]]
) -> None:
    """Does work; repeats it after each error until it ends without one.

    Args:
        subject: Kind of the work; one of a few.
        detail: Worker, run or row that it concerns.
        work: Does the work; may be called again after an error.
    """
    pause = GrowingPause()
    while True:
        began_s = clock.now_s()
        try:
            await work()
        except Exception as error:
            record(subject, error, detail)
        else:
            return
        if clock.now_s() - began_s > _STEADY_S:
            pause.reset()
        await asyncio.sleep(pause.next_s())
