"""Units that instances asked for and did not get."""

from __future__ import annotations


class UnmetDemand:
    """Remembers requests for a short time; requesters repeat them."""

    def __init__(self) -> None:
        self._missing: dict[str, dict[str, tuple[int, int]]] = {}

    @property
    def teams(self) -> tuple[str, ...]:
        """Teams of which units are missing."""
        return tuple(self._missing)

    def note(
        self, team: str, instance_id: str, units: int, until_ms: int
    ) -> None:
        """Replaces what an instance lacks, until a time."""
        self._missing.setdefault(team, {})[instance_id] = (units, until_ms)

    def served(self, team: str, instance_id: str, units: int) -> None:
        """Subtracts units that an instance got."""
        missing = self._missing.get(team, {})
        entry = missing.get(instance_id)
        if entry is None:
            return
        left = entry[0] - units
        if left > 0:
            missing[instance_id] = (left, entry[1])
        else:
            del missing[instance_id]

    def of(self, team: str) -> list[tuple[str, int]]:
        """Returns `(instance id, units)` of a team, the oldest first."""
        missing = self._missing.get(team, {})
        return [(name, units) for name, (units, _) in missing.items()]

    def waiting(self, team: str) -> int:
        """Returns the units of a team that are missing."""
        return sum(units for units, _ in self._missing.get(team, {}).values())

    def expire(self, now_ms: int) -> None:
        """Drops requests that were not repeated."""
        for team, missing in list(self._missing.items()):
            for name, (_, until_ms) in list(missing.items()):
                if until_ms <= now_ms:
                    del missing[name]
            if not missing:
                del self._missing[team]
