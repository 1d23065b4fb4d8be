"""Decides through which instances the advice service is called.

Load: slow calls that would keep quick ones waiting, and instances that left for good,
through which each call fails only at its time limit.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

# Share of the proxies that only quick calls may use; the leader itself is the first.
_QUICK_SHARE = 0.25
# Pause after a failed call through a proxy; doubles with each further one up to the
# maximum, until a call through it succeeds.
_INITIAL_PAUSE_S = 1.0
_MAX_PAUSE_S = 8.0


class _Failures(NamedTuple):
    """Failed calls through one proxy since the latest that succeeded.

    Attributes:
        pause_s: Pause after the latest one, in seconds.
        until_s: Monotonic time, in seconds, until which the proxy is not used.
    """

    pause_s: float
    until_s: float


class AdviceProxies:
    """Knows through which instances calls for advice have failed lately.

    It has an entry for each registered instance at most.
    """

    def __init__(self) -> None:
        self._names: list[str] = []
        self._failures: dict[str, _Failures] = {}

    def update(self, names: list[str]) -> None:
        """Replaces the proxies.

        Args:
            names: All proxies, the leader itself first.
        """
        self._names = names
        for name in self._failures.keys() - set(names):
            del self._failures[name]

    def record_success(self, name: str) -> None:
        """Records a call through a proxy that succeeded."""
        self._failures.pop(name, None)

    def record_failure(self, name: str, now: float) -> float:
        """Records a call through a proxy that failed.

        Calls of the leader itself fail only with the service, so that its pause does
        not grow.

        Args:
            name: Name of the proxy.
            now: Current monotonic time in seconds.

        Returns:
            The pause in seconds until it is used again.
        """
        former = self._failures.get(name)
        pause_s = _INITIAL_PAUSE_S
        if former is not None and not self._is_leader(name):
            pause_s = min(2 * former.pause_s, _MAX_PAUSE_S)
        self._failures[name] = _Failures(pause_s, now + pause_s)
        return pause_s

    def usable(
        self, busy: Collection[str], is_slow: bool, now: float
    ) -> list[str]:
        """Returns the free proxies that a call may use, the preferred ones first.

        A proxy that fails is not counted among those that are kept for quick calls.
        Such ones are tried again only if no other one is free, at most as many at a
        time as there are sound ones: few steps wait for instances that left, and
        instances that failed together are soon used again.

        Args:
            busy: Proxies with a call in progress.
            is_slow: Whether the call may not use those kept for quick calls.
            now: Current monotonic time in seconds.
        """
        sound = [name for name in self._names if name not in self._failures]
        kept = int(len(sound) * _QUICK_SHARE) if is_slow else 0
        free = [name for name in sound[kept:] if name not in busy]
        tried = sum(name in self._failures for name in busy)
        if free or tried >= max(1, len(sound)):
            return free
        failing = [
            name
            for name, failures in self._failures.items()
            if failures.until_s <= now
        ]
        failing.sort(
            key=lambda name: (
                not self._is_leader(name),
                self._failures[name].pause_s,
            )
        )
        return failing[: max(1, len(sound)) - tried]

    def _is_leader(self, name: str) -> bool:
        return self._names[:1] == [name]
