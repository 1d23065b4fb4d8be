"""Schedules requests for the inventory of a worker that is owned."""

from __future__ import annotations

# An inventory comes with a new epoch, which makes the worker refuse starts in
# flight. While inventories stay wanted, they are therefore requested after 1,
# 2, 4 and then every 8 renewals.
_MAX_RENEWALS = 8


class InventorySchedule:
    """Requests inventories with exponential backoff while they stay wanted.

    Args:
        renew_ms: Interval of the lease renewals in milliseconds.
    """

    def __init__(self, renew_ms: int) -> None:
        self._renew_ms = renew_ms
        self._wanted = False
        self._received_ms = 0
        self._request_count = 0

    def request(self) -> None:
        """Requests an inventory with one of the next renewals."""
        self._wanted = True

    def record_received(self, now_ms: int) -> None:
        """Records that an inventory has arrived."""
        self._wanted = False
        self._received_ms = now_ms

    def take_due(self, now_ms: int) -> bool:
        """Returns whether this renewal must request an inventory.

        If so, the interval until the next request doubles.
        """
        if not self._wanted:
            self._request_count = 0
            return False
        renewals = min(2**self._request_count, _MAX_RENEWALS)
        if now_ms < self._received_ms + renewals * self._renew_ms:
            return False
        self._request_count += 1
        return True
