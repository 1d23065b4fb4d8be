"""Follows the configuration in the store and tracks its age."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import model
from marigoldgap.cell import store

_log = decision_log.DecisionLogger("configuration")

# Long-poll time for changes. An answer confirms the configuration as of the
# time of its request, so the age reaches up to twice this time. Keys are
# refused at an age of 0.7 * 5 s = 3.5 s.
_LONG_POLL_MS = 1_000
# The same while this instance decides by the configuration what starts.
_CLOSE_LONG_POLL_MS = 500
# Age at which another version may be in force alone: the platform allows 2.5 s
# after the operator has written it.
_MAX_UNCONFIRMED_S = 2.4
# Pause after a failed call.
_RETRY_S = 0.1


class ConfigurationFollower:
    """Keeps the latest configuration.

    Args:
        rows: The store.
        row_key: Key of the configuration row.
        decode: Decodes the content of the row.
        adopted: Called with each new version.
    """

    def __init__(
        self,
        rows: store.Store,
        row_key: store.RowKey,
        decode: Callable[[bytes], model.Configuration],
        adopted: Callable[[model.Configuration], None],
    ) -> None:
        self.current: model.Configuration | None = None
        # Whether changes are followed closely, at the cost of more calls.
        self.follows_closely = False
        self._rows = rows
        self._row_key = row_key
        self._decode = decode
        self._adopted = adopted
        self._after = 0
        self._confirmed_s: float | None = None

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed the configuration."""
        if self._confirmed_s is None:
            return float("inf")
        return clock.now_s() - self._confirmed_s

    def is_outdated(self, store_outage_s: float) -> bool:
        """Returns whether another version may be in force alone.

        While the store answers no call, nobody can have written one; this
        instance may have missed one if it was paused or only its calls for the
        configuration failed.

        Args:
            store_outage_s: Seconds since the store's last answer to any call;
                0 while it answers.
        """
        return self.age_s - store_outage_s > _MAX_UNCONFIRMED_S

    @property
    def _long_poll_ms(self) -> int:
        return _CLOSE_LONG_POLL_MS if self.follows_closely else _LONG_POLL_MS

    async def run(self) -> None:
        """Follows changes until cancelled."""
        must_read = True
        while True:
            started_s = clock.now_s()
            try:
                if must_read or self.current is None:
                    page = await self._rows.read(
                        self._row_key.table,
                        self._row_key.partition,
                        self._row_key.key,
                        self._row_key.key + "\0",
                    )
                else:
                    page = await self._rows.changes(
                        self._row_key.table, self._after, self._long_poll_ms
                    )
            except store.HistoryLostError as error:
                _log.info("history_lost", cause=str(error))
                must_read = True
                continue
            except store.StoreError as error:
                _log.warning(
                    "configuration_unconfirmed",
                    age_s=round(self.age_s, 3),
                    cause=str(error),
                )
                must_read = True
                await asyncio.sleep(_RETRY_S)
                continue
            self._after = page.version
            self._confirmed_s = started_s
            for row in page.rows:
                if row.row_key == self._row_key and row.value is not None:
                    self._adopt(row.value)
            if must_read and self.current is None:
                await asyncio.sleep(_RETRY_S)
            must_read = False

    def _adopt(self, content: bytes) -> None:
        try:
            configuration = self._decode(content)
        except errors.MarigoldgapError as error:
            _log.error("configuration_unusable", cause=str(error))
            return
        if (
            self.current is not None
            and configuration.version <= self.current.version
        ):
            return
        _log.info(
            "configuration_adopted",
            version=configuration.version,
            queues=len(configuration.queues),
            keys=len(configuration.keys),
        )
        self.current = configuration
        measures.CONFIGURATION_VERSION.set(configuration.version)
        self._adopted(configuration)
