"""When a worker that is owned already is asked for an inventory."""

from __future__ import annotations

# A new epoch makes the worker refuse starts that are on their way, so while
# inventories stay wanted, one is asked for after 1, 2, 4, then 8 renewals.
_MOST_RENEWALS = 8


class InventorySchedule:
    """Spaces inventories further apart the longer they stay wanted.

    Args:
        renew_ms: Time between renewals.
    """

    def __init__(self, renew_ms: int) -> None:
        self._renew_ms = renew_ms
        self._wanted = False
        self._received_ms = 0
        self._round = 0

    def want(self) -> None:
        """Asks for an inventory."""
        self._wanted = True

    def received(self, now_ms: int) -> None:
        """Notes that an inventory has come."""
        self._wanted = False
        self._received_ms = now_ms

    def take_due(self, now_ms: int) -> bool:
        """Returns whether this renewal is to ask for an inventory."""
        if not self._wanted:
            self._round = 0
            return False
        renewals = min(2**self._round, _MOST_RENEWALS)
        if now_ms < self._received_ms + renewals * self._renew_ms:
            return False
        self._round += 1
        return True
