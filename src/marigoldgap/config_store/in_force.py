"""Tracks in which zones a version or a key withdrawal is in force."""

from __future__ import annotations

import collections

from marigoldgap.config_store import interfaces
from marigoldgap.config_store import state as state_module
from marigoldgap.settings import model as settings_model

# Beyond this number, the confirmations of the oldest withdrawal are dropped.
_MAX_TRACKED_WITHDRAWALS = 1_000


class InForceTracker:
    """Collects the reports of other instances about their configuration.

    A version or withdrawal is in force in a zone only if every entry instance
    that the platform lists in the zone has reported it, or if the zone's
    coordinator reported it for all of them.

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

    def report_version(self, instance_id: str, version: int) -> None:
        """Records the version in force on an instance of any zone."""
        known = self._versions.get(instance_id, 0)
        self._versions[instance_id] = max(known, version)

    def report_zone(self, zone: str, version: int) -> None:
        """Records the lowest version of a zone, as its coordinator reports."""
        known = self._zone_versions.get(zone, 0)
        self._zone_versions[zone] = max(known, version)

    def remove_instance(self, instance_id: str) -> None:
        """Drops the version of an instance.

        Needed when another process takes over its id.
        """
        self._versions.pop(instance_id, None)

    def report_denied(self, name: str, key_id: str) -> None:
        """Records that an instance or a whole zone refuses a key.

        Args:
            name: Instance id or zone.
            key_id: The withdrawn key.
        """
        self._denials.setdefault(key_id, set()).add(name)
        if len(self._denials) > _MAX_TRACKED_WITHDRAWALS:
            self._denials.popitem(last=False)

    def zone_version(self) -> int:
        """Returns the lowest version in force on the instances of this zone."""
        members = self._members().get(self._zone, [])
        own = [self._version_of(each) for each in members]
        return min([*own, self._state.version])

    def version_in_force(self, version: int) -> dict[str, bool]:
        """Returns by zone whether a version is in force there."""
        return {
            zone: self._zone_versions.get(zone, 0) >= version
            or all(self._version_of(each) >= version for each in members)
            for zone, members in sorted(self._members().items())
        }

    def withdrawal_in_force(
        self, key_id: str, version: int | None
    ) -> dict[str, bool]:
        """Returns by zone whether a withdrawn key is refused there.

        Args:
            key_id: The withdrawn key.
            version: Version that contains the withdrawal; None if it is not
                stored yet.
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
        """Returns the ids of the listed entry instances by zone.

        This instance is included even if it is not listed yet.
        """
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
