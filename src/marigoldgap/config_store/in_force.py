"""Where a version or a withdrawal is in force, zone by zone."""

from __future__ import annotations

import collections

from marigoldgap.config_store import interfaces
from marigoldgap.config_store import state as state_module
from marigoldgap.settings import model as settings_model

# Withdrawals whose confirmations are remembered; later ones replace them.
_KEPT_WITHDRAWALS = 1_000


class InForceTracker:
    """Collects what other instances report about their configuration.

    A zone counts only if every entry instance that the platform lists in it
    has reported, or if the zone's coordinator reported for all of them.

    Args:
        settings: Settings of this instance.
        state: The configuration of this instance.
        instances: The platform's list of instances.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        state: state_module.ConfigState,
        instances: interfaces.InstanceSource,
    ) -> None:
        self._instance_id = settings.instance_id
        self._zone = settings.zone
        self._state = state
        self._instances = instances
        self._versions: dict[str, int] = {}
        self._zone_versions: dict[str, int] = {}
        self._denials: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def report(self, instance_id: str, version: int) -> None:
        """Records the version that an instance of any zone has in force."""
        known = self._versions.get(instance_id, 0)
        self._versions[instance_id] = max(known, version)

    def report_zone(self, zone: str, version: int) -> None:
        """Records the lowest version of a zone, from its coordinator."""
        known = self._zone_versions.get(zone, 0)
        self._zone_versions[zone] = max(known, version)

    def forget(self, instance_id: str) -> None:
        """Forgets an instance that was replaced under the same id."""
        self._versions.pop(instance_id, None)

    def report_denied(self, name: str, key_id: str) -> None:
        """Records that an instance, or a whole zone, denies a key.

        Args:
            name: Instance id or name of the zone.
            key_id: The withdrawn key.
        """
        self._denials.setdefault(key_id, set()).add(name)
        if len(self._denials) > _KEPT_WITHDRAWALS:
            self._denials.popitem(last=False)

    def zone_version(self) -> int:
        """Returns the lowest version of the own zone's listed instances."""
        members = self._members().get(self._zone, [])
        own = [self._version_of(each) for each in members]
        return min([*own, self._state.version])

    def version_in_force(self, version: int) -> dict[str, bool]:
        """Returns for each zone whether a version is in force in it."""
        return {
            zone: self._zone_versions.get(zone, 0) >= version
            or all(self._version_of(each) >= version for each in members)
            for zone, members in sorted(self._members().items())
        }

    def withdrawal_in_force(
        self, key_id: str, version: int | None
    ) -> dict[str, bool]:
        """Returns for each zone whether a withdrawn key is refused in it.

        Args:
            key_id: The withdrawn key.
            version: Version with the withdrawal, if it is stored.
        """
        confirmed = self._denials.get(key_id, set())
        by_version = {} if version is None else self.version_in_force(version)
        return {
            zone: by_version.get(zone, False)
            or zone in confirmed
            or all(self._denies(each, key_id) for each in members)
            for zone, members in sorted(self._members().items())
        }

    def _members(self) -> dict[str, list[str]]:
        """Returns the listed entry instances of each zone."""
        members: dict[str, list[str]] = {self._zone: [self._instance_id]}
        for entry in self._instances.entries():
            ids = members.setdefault(entry.zone, [])
            if entry.instance_id not in ids:
                ids.append(entry.instance_id)
        return members

    def _version_of(self, instance_id: str) -> int:
        if instance_id == self._instance_id:
            return self._state.version
        return self._versions.get(instance_id, 0)

    def _denies(self, instance_id: str, key_id: str) -> bool:
        if instance_id == self._instance_id:
            return self._state.is_denied(key_id)
        return instance_id in self._denials.get(key_id, set())
