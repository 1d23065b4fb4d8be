"""Logs what remains in the evacuated zones, for the leader.

Designed for tens of zones and 3,000 workers: each pass reads every worker once.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap import decision_log
from marigoldgap import measures
from marigoldgap.cell import fleet
from marigoldgap.cell import runs

_log = decision_log.DecisionLogger("scheduler")

# Interval at which the workers are examined.
INTERVAL_S = 1.0
# Time between two lines about the same zone.
_REPEAT_S = 5.0
# Maximum number of lines in one pass. The metric has all zones.
_MAX_LINES = 20


class Remainder(NamedTuple):
    """What remains in an evacuated zone.

    Attributes:
        workers: Workers of the zone that may have runs.
        silent: Workers among them that do not answer; their runs end with their
            leases at the latest.
        running: Runs that have begun and continue to their end.
        starting: Runs whose start is not confirmed or withdrawn.
        stopping: Runs that are being stopped.
        long_running: Runs that only the cancellation of their job ends.
        unknown: Runs whose job is not known here.
    """

    workers: int = 0
    silent: int = 0
    running: int = 0
    starting: int = 0
    stopping: int = 0
    long_running: int = 0
    unknown: int = 0

    @property
    def runs(self) -> int:
        """All runs that remain."""
        return self.running + self.starting + self.stopping + self.unknown


class EvacuationLog:
    """Logs the remaining runs of each evacuated zone, and measures them."""

    def __init__(self) -> None:
        self._logged_s: dict[str, float] = {}

    def examine(
        self, workers: list[fleet.Worker], zones: frozenset[str], now: float
    ) -> None:
        """Logs and measures what remains in the evacuated zones.

        Args:
            workers: All workers of the cell.
            zones: Names of the evacuated zones.
            now: Current monotonic time in seconds.
        """
        for zone in self._logged_s.keys() - zones:
            measures.EVACUATING_RUNS.remove(zone)
        self._logged_s = {
            zone: self._logged_s.get(zone, float("-inf")) for zone in zones
        }
        if not zones:
            return
        remainders = _remainders(workers, zones)
        for zone, remainder in remainders.items():
            measures.EVACUATING_RUNS.labels(zone).set(remainder.runs)
        due = [
            zone
            for zone in sorted(zones, key=lambda zone: self._logged_s[zone])
            if now - self._logged_s[zone] >= _REPEAT_S
        ]
        for zone in due[:_MAX_LINES]:
            self._logged_s[zone] = now
            remainder = remainders[zone]
            _log.info(
                "zone_evacuating",
                zone=zone,
                runs=remainder.runs,
                **remainder._asdict(),
            )

    def close(self) -> None:
        """Removes the measures, as another instance leads."""
        for zone in self._logged_s:
            measures.EVACUATING_RUNS.remove(zone)
        self._logged_s.clear()


def _remainders(
    workers: list[fleet.Worker], zones: frozenset[str]
) -> dict[str, Remainder]:
    counts = {zone: [0] * len(Remainder._fields) for zone in zones}
    for worker in workers:
        found = counts.get(worker.registration.zone)
        if found is None:
            continue
        states = [run.state for run in worker.runs.values()]
        for index, amount in enumerate(
            (
                1,
                worker.contact is not fleet.Contact.ANSWERING,
                states.count(runs.RunState.RUNNING),
                states.count(runs.RunState.STARTING),
                states.count(runs.RunState.STOPPING),
                sum(
                    run.step.spec.is_long_running
                    for run in worker.runs.values()
                ),
                len(worker.unknown_runs),
            )
        ):
            found[index] += amount
    return {zone: Remainder(*found) for zone, found in counts.items()}
