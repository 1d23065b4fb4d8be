"""The row of one writer: decides the outcome of a write after a lost answer.

Each write of the process checks the version of its writer row and replaces
its token. After a lost answer the row tells whether the write took effect. If
it did not, the write may still be on its way; a further write of the row (the
fence) changes its version, so that the late write fails its check.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import identifiers
from marigoldgap import logs
from marigoldgap.settings import model as settings_model
from marigoldgap.table_service import model
from marigoldgap.table_service import table

_log = logs.PartLogger("platform")
_LONGEST_PAUSE_MS = 200
# Finding out the outcome takes a read and a write; each may take the whole
# request timeout.
_RESOLVE_CALLS = 2


class WriterRow:
    """Owns the row `writers/<instance_id>`.

    Args:
        settings: Settings of this instance.
        client: Client of the table service.
        source: Source of the pauses between tries (full jitter).
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        client: table.TableClient,
        source: random.Random,
        now_ms: Callable[[], int] = clock.monotonic_ms,
    ) -> None:
        self._client = client
        self._key = f"writers/{settings.instance_id}"
        self._resolve_timeout_ms = (
            settings.platform.request_timeout_ms * _RESOLVE_CALLS
        )
        self._source = source
        self._now_ms = now_ms
        self._version: int | None = None

    @property
    def key(self) -> str:
        """Key of the row."""
        return self._key

    def forget(self) -> None:
        """Reads the row's version again before the next write."""
        self._version = None

    async def commit(self, transaction: model.Transaction) -> int:
        """Commits a transaction together with the writer row.

        Raises:
            errors.RowConflictError: A check failed; nothing was written.
            errors.StoreUnavailableError: Nothing was or will be written.
            errors.StoreOutcomeUnknownError: The outcome could not be found
                out in time.
        """
        if self._version is None:
            row = await self._client.get(self._key)
            self._version = row.version if row else model.ABSENT_VERSION
        token = identifiers.new_token()
        guarded = self._guard(transaction, token)
        try:
            self._version = await self._client.commit(guarded)
        except errors.StoreOutcomeUnknownError as error:
            return await self._resolve(token, error)
        return self._version

    def _guard(
        self, transaction: model.Transaction, token: str
    ) -> model.Transaction:
        """Adds the check and the new token of the writer row."""
        assert self._version is not None
        return model.Transaction(
            (*transaction.checks, model.Check(self._key, self._version)),
            (*transaction.puts, model.Put(self._key, {"token": token})),
            transaction.deletes,
        )

    async def _resolve(
        self, token: str, cause: errors.StoreOutcomeUnknownError
    ) -> int:
        """Finds out whether the write with a token took effect."""
        deadline_ms = self._now_ms() + self._resolve_timeout_ms
        while self._now_ms() < deadline_ms:
            try:
                async with asyncio.timeout(
                    (deadline_ms - self._now_ms())
                    / clock.MILLISECONDS_PER_SECOND
                ):
                    version = await self._read_back(token)
            except (errors.MarigoldgapError, TimeoutError) as error:
                _log.debug("Reading back a write failed: %s", error)
                await self._pause()
                continue
            if version is None:
                raise errors.StoreUnavailableError(
                    f"the write was lost before it took effect: {cause}"
                )
            self._version = version
            return version
        self._version = None
        raise errors.StoreOutcomeUnknownError(
            f"the outcome of a write is not known yet: {cause}"
        )

    async def _read_back(self, token: str) -> int | None:
        """Returns the version of the write, or None once it is ruled out."""
        row = await self._client.get(self._key, during_outage=True)
        if row is not None and row.value.get("token") == token:
            return row.version
        self._version = row.version if row else model.ABSENT_VERSION
        fence = self._guard(model.Transaction(), identifiers.new_token())
        # A conflict here means that the lost write arrived after the read;
        # the caller reads the row again.
        self._version = await self._client.commit(fence, during_outage=True)
        return None

    async def _pause(self) -> None:
        pause_ms = self._source.uniform(0, _LONGEST_PAUSE_MS)
        await asyncio.sleep(pause_ms / clock.MILLISECONDS_PER_SECOND)
