"""Withdraws keys, even while the table service is unavailable."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.config_store import publisher
from marigoldgap.config_store import reader
from marigoldgap.config_store import state as state_module

_log = logs.PartLogger("config_store")


class WithdrawResult(NamedTuple):
    """Result of a withdrawal.

    Attributes:
        key_id: The withdrawn key.
        version: The version that contains the withdrawal, or None while it
            is not stored; this instance refuses the key in either case.
    """

    key_id: str
    version: int | None


class Withdrawals:
    """Denies keys immediately and retries to publish their withdrawals.

    Args:
        config_reader: Reads the configuration rows.
        config_publisher: Publishes withdrawals.
        state: Denies the keys; its listeners forward withdrawals to peers.
    """

    def __init__(
        self,
        config_reader: reader.ConfigReader,
        config_publisher: publisher.ConfigPublisher,
        state: state_module.ConfigState,
    ) -> None:
        self._reader = config_reader
        self._publisher = config_publisher
        self._state = state
        self._unpublished: dict[str, str] = {}

    @property
    def unpublished(self) -> tuple[str, ...]:
        """Ids of withdrawn keys that are not stored as withdrawn yet."""
        return tuple(self._unpublished)

    async def withdraw(self, key_id: str, author: str) -> WithdrawResult:
        """Withdraws a key; the call is idempotent.

        Args:
            key_id: The key to withdraw.
            author: Operator who withdraws it.

        Raises:
            errors.NotFoundError: The key was never granted.
        """
        if key_id not in self._state.keys and not self._state.is_denied(key_id):
            await self._require_granted(key_id)
        self._state.deny([key_id])
        _log.info("Key %s is withdrawn by %s", key_id, author)
        self._unpublished[key_id] = author
        published = await self.publish_pending()
        return WithdrawResult(key_id, published.get(key_id))

    async def publish_pending(self) -> dict[str, int]:
        """Publishes the withdrawals that are not stored yet.

        Returns:
            The versions of the withdrawals published now, by key id.
        """
        published: dict[str, int] = {}
        for key_id, author in list(self._unpublished.items()):
            try:
                published[key_id] = await self._publisher.publish_withdrawal(
                    key_id, author
                )
            except errors.MarigoldgapError as error:
                _log.warning(
                    "Withdrawal of key %s not stored yet: %s", key_id, error
                )
                break
            self._unpublished.pop(key_id, None)
        return published

    async def _require_granted(self, key_id: str) -> None:
        """Checks that a key exists that this instance does not know yet.

        Another instance may just have granted it, so that missing versions
        are read first. If the table service is unavailable, the check passes:
        denying a key id that does not exist does no harm.

        Raises:
            errors.NotFoundError: The key was never granted.
        """
        try:
            head = await self._reader.head()
            missing = await self._reader.versions(
                self._state.version, head.version
            )
        except errors.StoreUnavailableError:
            return
        self._state.adopt(missing)
        if key_id not in self._state.keys and not self._state.is_denied(key_id):
            raise errors.NotFoundError(
                f"there is no key {key_id}; 'keys list' shows the key ids"
            )
