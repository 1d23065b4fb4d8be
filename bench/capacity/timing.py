"""Measures the processor time and memory of functions in this process."""

from __future__ import annotations

from collections.abc import Callable
import gc
import time
import tracemalloc
from typing import Any

_ROUNDS = 3
_ROUND_NS = 10_000_000
_NANOSECONDS_PER_MICROSECOND = 1_000


def best_us(function: Callable[..., Any], *arguments: Any) -> float:
    """Returns the processor time of a call in us, as the best of some rounds.

    Other processes share the machine; they disturb the best round least.
    """
    calls = 1
    while (taken_ns := _time_calls_ns(function, arguments, calls)) < _ROUND_NS:
        calls = max(2 * calls, int(calls * _ROUND_NS / max(taken_ns, 1)))
    best_ns = min(
        _time_calls_ns(function, arguments, calls) for _ in range(_ROUNDS)
    )
    return best_ns / calls / _NANOSECONDS_PER_MICROSECOND


def allocated_bytes(build: Callable[..., Any], *arguments: Any) -> int:
    """Returns the bytes that the result of a function keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build(*arguments)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return size


def _time_calls_ns(
    function: Callable[..., Any], arguments: tuple[Any, ...], calls: int
) -> int:
    """Returns the processor time of a number of calls in ns."""
    start_ns = time.process_time_ns()
    for _ in range(calls):
        function(*arguments)
    return time.process_time_ns() - start_ns
