"""Time for leases and deadlines; it also counts while a machine sleeps."""

from __future__ import annotations

import time


def now_s() -> float:
    """Returns seconds since the start of the machine, suspended time too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Returns the time of day in milliseconds since 1970."""
    return time.time_ns() // 1_000_000
