"""Evacuated availability zones, and which starts they withdraw.

Designed for tens of zones; a check of a start takes constant time.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from marigoldgap.cell import runs

# Time, after this instance has learned of an evacuation, in which a gang whose
# members may have started partly completes its starts. Otherwise the members that
# have started would be lost.
GANG_COMPLETION_S = 1.0
# The same after the latest moment at which the zone was known not to be
# evacuated. The platform allows 5 s after the store has acknowledged the request;
# the rest is for a start command in progress (0.5 s) and its way to the worker.
_GANG_LIMIT_S = 3.4


class _Evacuation(NamedTuple):
    """Monotonic times of an evacuation, in seconds.

    Attributes:
        learned_s: Time at which this instance has learned of it.
        absent_s: Latest time at which the store confirmed that there was none;
            infinitely early if unknown.
    """

    learned_s: float
    absent_s: float


class Change(NamedTuple):
    """Zones whose evacuation has begun or ended."""

    evacuated: frozenset[str]
    returned: frozenset[str]


class Evacuations:
    """The zones that the operator has evacuated, as of the latest answer."""

    def __init__(self) -> None:
        self._zones: dict[str, _Evacuation] = {}
        self._names: frozenset[str] = frozenset()

    @property
    def zones(self) -> frozenset[str]:
        """Names of the evacuated zones."""
        return self._names

    def replace(
        self, zones: Iterable[str], confirmed_s: float | None, now: float
    ) -> Change:
        """Replaces the evacuated zones.

        An evacuation that is requested again keeps its times.

        Args:
            zones: Names of all zones that are evacuated now.
            confirmed_s: Monotonic time, in seconds, as of which the former
                zones were confirmed; None if they never were.
            now: Current monotonic time in seconds.
        """
        former = self._names
        absent_s = float("-inf") if confirmed_s is None else confirmed_s
        self._zones = {
            zone: self._zones.get(zone) or _Evacuation(now, absent_s)
            for zone in zones
        }
        self._names = frozenset(self._zones)
        return Change(self._names - former, former - self._names)

    def withdraws(self, run: runs.Run, now: float) -> bool:
        """Returns whether a start may not be sent, or not be repeated.

        Args:
            run: A run whose start is not confirmed.
            now: Current monotonic time in seconds.
        """
        if not self._zones:
            return False
        found = self._zones.get(run.worker.registration.zone)
        if found is None:
            return False
        if not _may_have_begun(run):
            return True
        return (
            now - found.learned_s >= GANG_COMPLETION_S
            or now - found.absent_s >= _GANG_LIMIT_S
        )


def _may_have_begun(run: runs.Run) -> bool:
    """Returns whether a run belongs to a gang that may have started partly."""
    return run.step.spec.is_gang and any(
        member.is_sent or member.has_begun
        for member in run.step.active.values()
    )
