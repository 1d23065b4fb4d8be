"""Follows the configuration and the evacuated zones, and tracks their age.

Both are rows that the operator writes. They are read in one call, so that they
are from the same point in time, and are followed by the feed of their table.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import evacuations
from marigoldgap.cell import model
from marigoldgap.cell import store

_log = decision_log.DecisionLogger("configuration")

# Long-poll time for changes. An answer confirms the configuration as of the time
# at which the store gave it, or, if that is not known, as of its request: the age
# reaches up to twice this time then.
_LONG_POLL_MS = 1_000
# Age beyond which the store is asked to answer at once. A large transfer may take
# that long.
_MAX_HELD_AGE_S = 1.2
# The same while this instance decides by the configuration what starts.
_CLOSE_LONG_POLL_MS = 500
# Age at which another version may be in force alone: the platform allows 2.5 s
# after the operator has written it, and 5 s for an evacuation.
_MAX_UNCONFIRMED_S = 2.4
# Pause after a failed call.
_RETRY_S = 0.1
# Rows of a page: the most that the store returns.
_PAGE_ROWS = 500


class OperatorRows(NamedTuple):
    """Names and formats of the rows that the operator writes.

    Attributes:
        configuration: Key of the configuration row.
        end: Exclusive end of the range of keys that starts with it and holds
            the rows of all evacuations.
        decode_configuration: Decodes the content of the configuration row.
        decode_evacuation: Returns the zone that a row evacuates, from its key
            and content; None if it is another row.
    """

    configuration: store.RowKey
    end: str
    decode_configuration: Callable[[bytes], model.Configuration]
    decode_evacuation: Callable[[store.RowKey, bytes], str | None]


class ConfigurationFollower:
    """Keeps the latest configuration and the evacuated zones.

    Args:
        rows: The store.
        operator_rows: The rows to follow.
        adopted: Called with each new version of the configuration.
    """

    def __init__(
        self,
        rows: store.Store,
        operator_rows: OperatorRows,
        adopted: Callable[[model.Configuration], None],
    ) -> None:
        self.current: model.Configuration | None = None
        self.evacuations = evacuations.Evacuations()
        # Whether changes are followed closely, at the cost of more calls.
        self.follows_closely = False
        self._rows = rows
        self._operator_rows = operator_rows
        # Evacuated zones by the key of the row that requests it.
        self._evacuation_rows: dict[store.RowKey, str] = {}
        self._adopted = adopted
        self._after = 0
        self._confirmed_s: float | None = None

    @property
    def version(self) -> int:
        """Version of the configuration; 0 before the first one."""
        return 0 if self.current is None else self.current.version

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Names of the evacuated zones."""
        return self.evacuations.zones

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed configuration and zones."""
        if self._confirmed_s is None:
            return float("inf")
        return clock.now_s() - self._confirmed_s

    @property
    def logged_age_s(self) -> float | None:
        """The age for log lines; None before the first confirmation."""
        return None if self._confirmed_s is None else round(self.age_s, 3)

    def is_outdated(self, store_outage_s: float) -> bool:
        """Returns whether another version may be in force alone.

        The same holds for an evacuation that this instance does not know. While
        the store answers no call, nobody can have written one; this instance
        may have missed one if it was paused or only its calls for the
        configuration failed.

        Args:
            store_outage_s: Seconds since the store's last answer to any call;
                0 while it answers.
        """
        return self.age_s - store_outage_s > _MAX_UNCONFIRMED_S

    @property
    def _long_poll_ms(self) -> int:
        if self.age_s > _MAX_HELD_AGE_S:
            return 0
        return _CLOSE_LONG_POLL_MS if self.follows_closely else _LONG_POLL_MS

    async def run(self) -> None:
        """Follows changes until cancelled."""
        must_read = True
        while True:
            started_s = clock.now_s()
            must_read = must_read or self.current is None
            try:
                if must_read:
                    page = await self._read()
                else:
                    page = await self._rows.changes(
                        self._operator_rows.configuration.table,
                        self._after,
                        self._long_poll_ms,
                    )
            except store.HistoryLostError as error:
                _log.info("history_lost", cause=str(error))
                must_read = True
                continue
            except store.StoreError as error:
                _log.warning(
                    "configuration_unconfirmed",
                    version=self.version,
                    age_s=self.logged_age_s,
                    call="read" if must_read else "changes",
                    took_s=round(clock.now_s() - started_s, 3),
                    cause=str(error),
                )
                # A call without an answer is repeated: a change costs its bytes
                # only once, and nothing is sent if there is none.
                must_read |= isinstance(error, store.UnusableAnswerError)
                await asyncio.sleep(_RETRY_S)
                continue
            self._after = page.version
            # Before the configuration: without one, nothing is planned.
            self._apply_evacuations(page, must_read)
            self._confirm(started_s if page.read_s is None else page.read_s)
            for row in page.rows:
                if (
                    row.row_key == self._operator_rows.configuration
                    and row.value is not None
                ):
                    self._adopt(row.value)
            if must_read and self.current is None:
                await asyncio.sleep(_RETRY_S)
            must_read = False

    def _confirm(self, read_s: float) -> None:
        if self._confirmed_s is None or read_s > self._confirmed_s:
            self._confirmed_s = read_s

    async def _read(self) -> store.Page:
        """Reads the operator's rows, usually in one call.

        Returns:
            All rows, with the version of the first page: the feed delivers what
            has changed since.
        """
        configuration = self._operator_rows.configuration
        first = configuration.key
        rows: list[store.Row] = []
        version = read_s = None
        while True:
            page = await self._rows.read(
                configuration.table,
                configuration.partition,
                first,
                self._operator_rows.end,
                max_rows=_PAGE_ROWS,
            )
            if version is None:
                version, read_s = page.version, page.read_s
            rows.extend(page.rows)
            if not page.has_more or not page.rows:
                return store.Page(tuple(rows), False, version, read_s)
            first = page.rows[-1].row_key.key + "\0"

    def _apply_evacuations(self, page: store.Page, is_whole: bool) -> None:
        """Applies the rows of evacuations.

        Args:
            page: Rows that were read or have changed.
            is_whole: Whether these are all rows, so that one that is missing
                has been removed.
        """
        found = {} if is_whole else self._evacuation_rows
        for row in page.rows:
            if row.value is None:
                found.pop(row.row_key, None)
                continue
            zone = self._operator_rows.decode_evacuation(row.row_key, row.value)
            if zone is not None:
                found[row.row_key] = zone
        self._evacuation_rows = found
        change = self.evacuations.replace(
            found.values(), self._confirmed_s, clock.now_s()
        )
        for zone in sorted(change.evacuated):
            _log.warning("zone_evacuated", zone=zone)
        for zone in sorted(change.returned):
            _log.warning("zone_returned", zone=zone)
        measures.EVACUATED_ZONES.set(len(self.evacuated_zones))

    def _adopt(self, content: bytes) -> None:
        try:
            configuration = self._operator_rows.decode_configuration(content)
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
            former_version=self.version,
            age_s=self.logged_age_s,
            bytes=len(content),
            queues=len(configuration.queues),
            keys=len(configuration.keys),
        )
        self.current = configuration
        measures.CONFIGURATION_VERSION.set(configuration.version)
        self._adopted(configuration)
