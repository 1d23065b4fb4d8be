"""The configuration of this instance; its version never decreases."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.config_store import interfaces
from marigoldgap.config_store import model
from marigoldgap.config_store import version_changes
from marigoldgap.rules import model as rules_model
from marigoldgap.rules import parser

_log = logs.PartLogger("config_store")

# Peers that lack more versions get a snapshot, which is smaller than that
# many versions.
_KEPT_VERSIONS = 64


class ConfigState:
    """Holds the rules, the granted keys and the deny set of withdrawn keys.

    Args:
        now_ms: Monotonic clock.
    """

    def __init__(self, now_ms: Callable[[], int] = clock.monotonic_ms) -> None:
        self._now_ms = now_ms
        self._configuration = model.EMPTY_CONFIGURATION
        self._rules = parser.parse("")
        self._denied: set[str] = set()
        self._recent: collections.deque[model.ConfigVersion] = (
            collections.deque(maxlen=_KEPT_VERSIONS)
        )
        self._confirmed_at_ms: int | None = None
        self._listeners: list[interfaces.ConfigListener] = []

    @property
    def version(self) -> int:
        """The adopted version; 0 before the first."""
        return self._configuration.version

    @property
    def rules(self) -> rules_model.Rules:
        """The rules in force."""
        return self._rules

    @property
    def keys(self) -> Mapping[str, model.KeyRecord]:
        """Granted keys by key id; some may be in the deny set."""
        return self._configuration.keys

    @property
    def configuration(self) -> model.Configuration:
        """The whole configuration."""
        return self._configuration

    @property
    def denied(self) -> frozenset[str]:
        """Ids of the withdrawn keys."""
        return frozenset(self._denied)

    @property
    def is_known(self) -> bool:
        """Whether a configuration was read, even if it is empty."""
        return self.version > 0 or self._confirmed_at_ms is not None

    def is_denied(self, key_id: str) -> bool:
        """Whether a key was withdrawn."""
        return key_id in self._denied

    def subscribe(self, listener: interfaces.ConfigListener) -> None:
        """Adds a listener for changes of the configuration."""
        self._listeners.append(listener)

    def adopt(self, versions: Iterable[model.ConfigVersion]) -> bool:
        """Adopts higher versions; ignores those already adopted.

        Adoption stops at a gap or at a malformed version. Keys withdrawn by
        any of the versions are denied in either case.

        Returns:
            Whether the configuration changed.
        """
        configuration = self._configuration
        adopted: list[model.ConfigVersion] = []
        received = sorted(versions, key=lambda each: each.version)
        self._deny_withdrawn(received)
        for change in received:
            if change.version <= configuration.version:
                continue
            try:
                configuration = version_changes.apply_version(
                    configuration, change
                )
            except errors.ProtocolError as error:
                _log.warning(
                    "Configuration version %d not adopted: %s",
                    change.version,
                    error,
                )
                break
            adopted.append(change)
        return bool(adopted) and self._activate(configuration, adopted)

    def deny(self, key_ids: Iterable[str]) -> tuple[str, ...]:
        """Adds keys to the deny set; returns those that were not in it."""
        added = tuple(sorted(set(key_ids) - self._denied))
        if not added:
            return ()
        self._denied.update(added)
        for listener in self._listeners:
            listener.keys_denied(added)
        return added

    def confirm(self, age_ms: int = 0) -> None:
        """Records that the table service confirmed this configuration.

        Args:
            age_ms: Age of the confirmation; greater than 0 if a peer reports
                an earlier confirmation.
        """
        at_ms = self._now_ms() - age_ms
        if self._confirmed_at_ms is None or at_ms > self._confirmed_at_ms:
            self._confirmed_at_ms = at_ms

    def confirmed_age_ms(self) -> int | None:
        """Returns the time since the last confirmation; None if none."""
        if self._confirmed_at_ms is None:
            return None
        return self._now_ms() - self._confirmed_at_ms

    def versions_since(self, version: int) -> tuple[model.ConfigVersion, ...]:
        """Returns the versions that update a peer from the given version.

        Returns one snapshot if the peer lacks versions that are no longer
        kept.
        """
        if version >= self.version:
            return ()
        needed = [each for each in self._recent if each.version > version]
        if needed and needed[0].version == version + 1:
            return tuple(needed)
        return (
            version_changes.snapshot_of(self._configuration, clock.wall_ms()),
        )

    def _deny_withdrawn(self, versions: Iterable[model.ConfigVersion]) -> None:
        """Denies the keys withdrawn by versions, even if not adoptable."""
        self.deny(
            str(change.content.get("key_id"))
            for change in versions
            if change.kind == model.KIND_WITHDRAWAL
            and isinstance(change.content, dict)
        )

    def _activate(
        self,
        configuration: model.Configuration,
        adopted: Sequence[model.ConfigVersion],
    ) -> bool:
        if configuration.rules_text != self._configuration.rules_text:
            try:
                self._rules = parser.parse(configuration.rules_text)
            except errors.RulesError as error:
                # A newer release wrote the rules. This instance keeps its
                # version; operators see that the new one is not in force.
                _log.error(
                    "Configuration version %d not adopted; its rules cannot "
                    "be parsed by this release: %s",
                    configuration.version,
                    error,
                )
                return False
        self._configuration = configuration
        self._recent.extend(adopted)
        _log.info(
            "Configuration version %d is in force on this instance",
            configuration.version,
        )
        for listener in self._listeners:
            listener.config_changed(adopted)
        return True
