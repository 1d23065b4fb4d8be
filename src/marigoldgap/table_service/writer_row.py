"""Writer row: determines the outcome of a write whose answer was lost.

Each write of the process checks the version of its writer row and replaces
the token in it. After a lost answer the token shows whether the write took
effect. If it did not, the write may still be in flight; another write of the
row (the fence) changes its version, so that the late write fails its check.
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
_MAX_RETRY_DELAY_MS = 200
# Resolving an outcome takes a read and a write; each may take the full request
# timeout.
_CALLS_TO_RESOLVE = 2


class WriterRow:
    """Commits transactions together with the row `writers/<instance_id>`.

    Args:
        settings: Settings of this instance.
        client: Client of the table service.
        random_source: Random generator for the retry delays (full jitter).
        now_ms: Monotonic clock, in milliseconds.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        client: table.TableClient,
        random_source: random.Random,
        now_ms: Callable[[], int] = clock.monotonic_ms,
    ) -> None:
        self._client = client
        self._key = f"writers/{settings.instance_id}"
        self._resolve_timeout_ms = (
            settings.platform.request_timeout_ms * _CALLS_TO_RESOLVE
        )
        self._random_source = random_source
        self._now_ms = now_ms
        self._version: int | None = None

    @property
    def key(self) -> str:
        """Key of the row."""
        return self._key

    def invalidate(self) -> None:
        """Discards the cached version; the next commit reads it again."""
        self._version = None

    async def commit(self, transaction: model.Transaction) -> int:
        """Commits a transaction together with the writer row.

        Raises:
            errors.RowConflictError: A check failed; nothing was written.
            errors.StoreUnavailableError: Nothing was or will be written.
            errors.StoreOutcomeUnknownError: The outcome could not be resolved
                in time.
        """
        if self._version is None:
            row = await self._client.get(self._key)
            self._version = row.version if row else model.ABSENT_VERSION
        token = identifiers.new_token()
        with_writer_row = self._add_writer_row(transaction, token)
        try:
            self._version = await self._client.commit(with_writer_row)
        except errors.StoreOutcomeUnknownError as error:
            return await self._resolve_outcome(token, error)
        return self._version

    def _add_writer_row(
        self, transaction: model.Transaction, token: str
    ) -> model.Transaction:
        """Adds the version check and the new token of the writer row."""
        assert self._version is not None
        return model.Transaction(
            (*transaction.checks, model.Check(self._key, self._version)),
            (*transaction.puts, model.Put(self._key, {"token": token})),
            transaction.deletes,
        )

    async def _resolve_outcome(
        self, token: str, cause: errors.StoreOutcomeUnknownError
    ) -> int:
        """Determines whether the write with a token took effect."""
        deadline_ms = self._now_ms() + self._resolve_timeout_ms
        while self._now_ms() < deadline_ms:
            try:
                async with asyncio.timeout(
                    (deadline_ms - self._now_ms())
                    / clock.MILLISECONDS_PER_SECOND
                ):
                    version = await self._read_back(token)
            except (errors.MarigoldgapError, TimeoutError) as error:
                _log.debug(
                    "Reading back the outcome of a write failed: %s", error
                )
                await self._wait_before_retry()
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
        """Returns the version of the write, or None if it is ruled out."""
        row = await self._client.get(self._key, during_outage=True)
        if row is not None and row.value.get("token") == token:
            return row.version
        self._version = row.version if row else model.ABSENT_VERSION
        fence = self._add_writer_row(
            model.Transaction(), identifiers.new_token()
        )
        # A conflict here means that the lost write arrived after the read;
        # the caller retries and reads the row again.
        self._version = await self._client.commit(fence, during_outage=True)
        return None

    async def _wait_before_retry(self) -> None:
        delay_ms = self._random_source.uniform(0, _MAX_RETRY_DELAY_MS)
        await asyncio.sleep(delay_ms / clock.MILLISECONDS_PER_SECOND)
