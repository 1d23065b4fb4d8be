"""Clocks of the process and the machine.

Decision logic takes the time as an argument; only code that does I/O or runs
timers reads a clock.
"""

from __future__ import annotations

import time

MILLISECONDS_PER_SECOND = 1_000
_NANOSECONDS_PER_MILLISECOND = 1_000_000


def monotonic_ms() -> int:
    """Returns the monotonic clock in milliseconds."""
    return time.monotonic_ns() // _NANOSECONDS_PER_MILLISECOND


def wall_ms() -> int:
    """Returns the wall clock in milliseconds since the Unix epoch."""
    return time.time_ns() // _NANOSECONDS_PER_MILLISECOND


def now_s() -> float:
    """Returns the seconds since the machine booted, including suspended time.

    Leases and deadlines keep running while a machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
