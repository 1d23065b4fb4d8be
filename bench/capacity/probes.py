"""Reads the processor time and memory of a process from /proc."""

from __future__ import annotations

import pathlib

_PROC = pathlib.Path("/proc")
_NANOSECONDS_PER_MILLISECOND = 1_000_000
_KIB_PER_MIB = 1_024


def cpu_ms(pid: int) -> float:
    """Returns the processor time of all threads of a process, in ms.

    `schedstat` counts nanoseconds; the clock ticks in `stat` are too coarse
    for windows of a few seconds.
    """
    total = 0
    for thread in (_PROC / str(pid) / "task").iterdir():
        total += int((thread / "schedstat").read_text().split()[0])
    return total / _NANOSECONDS_PER_MILLISECOND


def resident_mib(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    for line in (_PROC / str(pid) / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KIB_PER_MIB
    return 0.0
