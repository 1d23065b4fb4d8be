"""Withdraws keys, also while the table service is down."""

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
        version: The version that contains it, or None while the table
            service is down; the key is refused here in either case.
    """

    key_id: str
    version: int | None


class Withdrawals:
    """Denies keys at once and publishes each withdrawal until it is stored.

    Args:
        config_reader: Reads the configuration rows.
        config_publisher: Publishes the withdrawal.
        state: Its listeners pass the withdrawal on to peers.
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
        """Withdrawn keys that are not in the table service yet."""
        return tuple(self._unpublished)

    async def withdraw(self, key_id: str, author: str) -> WithdrawResult:
        """Withdraws a key; repeating a call is harmless.

        Raises:
            errors.NotFoundError: The key was never granted.
        """
        if key_id not in self._state.keys and not self._state.is_denied(key_id):
            await self._find(key_id)
        self._state.deny([key_id])
        _log.info("Key %s is withdrawn by %s", key_id, author)
        self._unpublished[key_id] = author
        published = await self.publish_pending()
        return WithdrawResult(key_id, published.get(key_id))

    async def publish_pending(self) -> dict[str, int]:
        """Publishes withdrawals that are not stored yet.

        Returns:
            The version of each withdrawal that is stored now.
        """
        published: dict[str, int] = {}
        for key_id, author in list(self._unpublished.items()):
            try:
                published[key_id] = await self._publisher.publish_withdrawal(
                    key_id, author
                )
            except errors.MarigoldgapError as error:
                _log.warning(
                    "Withdrawal of %s not stored yet: %s", key_id, error
                )
                break
            self._unpublished.pop(key_id, None)
        return published

    async def _find(self, key_id: str) -> None:
        """Looks for a key that was granted a moment ago elsewhere.

        If the table service is down, the key id is denied unseen: refusing an
        id that does not exist does no harm.
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
