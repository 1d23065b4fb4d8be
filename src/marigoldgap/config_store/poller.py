"""Polls the table service for new configuration versions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.config_store import interfaces
from marigoldgap.config_store import reader
from marigoldgap.config_store import state as state_module
from marigoldgap.config_store import withdrawals
from marigoldgap.settings import model as settings_model

_log = logs.PartLogger("config_store")

_POLL_INTERVAL_MS = 1_000
# Share of the highest key age after which the keys are confirmed again. It
# leaves time for several attempts before keys are refused for their age.
_CONFIRM_AGE_SHARE = 0.25
_UNKNOWN_HEAD = reader.Head(0, 0)


class HeadPoller:
    """Polls the head row with conditional reads and adopts new versions.

    Args:
        settings: Settings of this instance.
        config_reader: Reads the configuration rows.
        state: Adopts the versions.
        pending: Withdrawals to publish once the table service answers again.
        random_source: Source of the jitter of the pauses.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        config_reader: reader.ConfigReader,
        state: state_module.ConfigState,
        pending: withdrawals.Withdrawals,
        random_source: random.Random,
    ) -> None:
        self._max_key_age_s = settings.max_key_age_s
        self._reader = config_reader
        self._state = state
        self._pending = pending
        self._random_source = random_source
        self._head = _UNKNOWN_HEAD
        self._denied_loaded = False

    async def run(self, is_active: Callable[[], bool]) -> None:
        """Polls once a second while this instance is the coordinator.

        Every instance publishes the withdrawals that it accepted. It also
        confirms its keys in time if the settings limit their age.

        Args:
            is_active: Returns whether this instance polls for its zone.
        """
        while True:
            if is_active() or self._needs_confirmation():
                await self.poll_once()
            elif self._pending.unpublished:
                await self._pending.publish_pending()
            # Jitter spreads the polls of the zones; the mean is one second.
            pause_ms = self._random_source.uniform(
                0.9 * _POLL_INTERVAL_MS, 1.1 * _POLL_INTERVAL_MS
            )
            await asyncio.sleep(pause_ms / clock.MILLISECONDS_PER_SECOND)

    async def load(self, peers: interfaces.Peers) -> None:
        """Loads the first configuration from peers or the table service.

        Returns only once there is one; until then the instance must not
        report that it is ready.

        Args:
            peers: Asked before the table service.
        """
        while not self._state.is_known:
            self._state.deny(await peers.fetch_denied())
            self._state.adopt(await peers.fetch_versions(self._state.version))
            if self._state.version == 0:
                await self.poll_once()
            if not self._state.is_known:
                pause_ms = self._random_source.uniform(0, _POLL_INTERVAL_MS)
                await asyncio.sleep(pause_ms / clock.MILLISECONDS_PER_SECOND)

    async def poll_once(self) -> bool:
        """Adopts the changes since the last poll.

        Returns:
            Whether the table service answered.
        """
        try:
            await self._adopt_head()
            if not self._denied_loaded:
                self._state.deny(await self._reader.denied())
                self._denied_loaded = True
        except errors.MarigoldgapError as error:
            _log.debug(
                "Configuration poll failed; the version in force stays: %s",
                error,
            )
            return False
        await self._pending.publish_pending()
        return True

    def _needs_confirmation(self) -> bool:
        """Whether the keys must be confirmed before they become too old."""
        if self._max_key_age_s is None:
            return False
        age_ms = self._state.confirmed_age_ms()
        if age_ms is None:
            return True
        limit_ms = self._max_key_age_s * clock.MILLISECONDS_PER_SECOND
        return age_ms > limit_ms * _CONFIRM_AGE_SHARE

    async def _adopt_head(self) -> None:
        head = await self._reader.head_if_changed(self._head)
        if head is None:
            head = self._head
        if head.version < self._state.version:
            # The table service may have been restored from an old backup.
            _log.warning(
                "The table service is at configuration version %d, below "
                "version %d in force; not reverting",
                head.version,
                self._state.version,
            )
        elif head.version > self._state.version:
            self._state.adopt(
                await self._reader.versions(self._state.version, head.version)
            )
        self._head = head
        if self._state.version == head.version:
            self._state.confirm()
