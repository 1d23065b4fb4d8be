"""Clocks. Decisions take the time as an argument; only the edges read it."""

from __future__ import annotations

import time

MILLISECONDS_PER_SECOND = 1_000
_NANOSECONDS_PER_MILLISECOND = 1_000_000


def monotonic_ms() -> int:
    """Returns the monotonic clock of this process in milliseconds."""
    return time.monotonic_ns() // _NANOSECONDS_PER_MILLISECOND


def wall_ms() -> int:
    """Returns the wall clock in milliseconds since the epoch."""
    return time.time_ns() // _NANOSECONDS_PER_MILLISECOND


def now_s() -> float:
    """Returns seconds since the start of the machine, suspended time too.

    Leases and deadlines go on while a machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
