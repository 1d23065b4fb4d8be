"""Units that instances requested but were not granted."""

from __future__ import annotations


class UnmetDemand:
    """Unmet requests for units by team and instance.

    Entries expire, since requesters repeat their requests.
    """

    def __init__(self) -> None:
        self._missing: dict[str, dict[str, tuple[int, int]]] = {}

    @property
    def teams(self) -> tuple[str, ...]:
        """Teams with unmet requests."""
        return tuple(self._missing)

    def set_missing(
        self, team: str, instance_id: str, units: int, until_ms: int
    ) -> None:
        """Sets the units that an instance lacks, valid until `until_ms`."""
        self._missing.setdefault(team, {})[instance_id] = (units, until_ms)

    def subtract_granted(self, team: str, instance_id: str, units: int) -> None:
        """Subtracts units that were granted to an instance."""
        missing = self._missing.get(team, {})
        entry = missing.get(instance_id)
        if entry is None:
            return
        remaining = entry[0] - units
        if remaining > 0:
            missing[instance_id] = (remaining, entry[1])
        else:
            del missing[instance_id]

    def requests_of(self, team: str) -> list[tuple[str, int]]:
        """Returns `(instance id, units)` pairs of a team, oldest first."""
        missing = self._missing.get(team, {})
        return [(name, units) for name, (units, _) in missing.items()]

    def missing_units(self, team: str) -> int:
        """Returns the total number of units that a team lacks."""
        return sum(units for units, _ in self._missing.get(team, {}).values())

    def expire(self, now_ms: int) -> None:
        """Drops requests that were not repeated in time."""
        for team, missing in list(self._missing.items()):
            for name, (_, until_ms) in list(missing.items()):
                if until_ms <= now_ms:
                    del missing[name]
            if not missing:
                del self._missing[team]
