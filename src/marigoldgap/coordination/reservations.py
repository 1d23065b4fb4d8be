"""Capacity reservations for gangs, with expiry."""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap.coordination import interfaces
from marigoldgap.entries import job_messages
from marigoldgap.scheduling import model


class ReservationTable:
    """Tracks reservations until they are committed, released or expired.

    Each reservation expires by its own timer, so a coordinator that dies
    between reserve and commit leaves no capacity reserved.

    Args:
        placer: Reserves the capacity.
    """

    def __init__(self, placer: interfaces.Placer) -> None:
        self._placer = placer
        self._tasks: dict[str, tuple[model.TaskSpec, ...]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def reserve(
        self, message: job_messages.ReserveGang
    ) -> job_messages.ReserveResult:
        """Reserves capacity for as many of the tasks as fit."""
        reservation_id = message.reservation_id
        kept = self._placer.reserve(reservation_id, message.tasks)
        self._tasks[reservation_id] = tuple(
            task for task in message.tasks if task.task_id in kept
        )
        expiry_s = message.expires_in_ms / clock.MILLISECONDS_PER_SECOND
        self._timers[reservation_id] = asyncio.get_running_loop().call_later(
            expiry_s, self.release, reservation_id
        )
        return job_messages.ReserveResult(reservation_id, tuple(kept))

    def commit(self, reservation_id: str) -> tuple[model.TaskSpec, ...]:
        """Cancels the expiry; returns the tasks, or none if it has expired."""
        timer = self._timers.pop(reservation_id, None)
        if timer is not None:
            timer.cancel()
        return self._tasks.pop(reservation_id, ())

    def release(self, reservation_id: str) -> None:
        """Releases the capacity; repeated and late calls have no effect."""
        if self.commit(reservation_id):
            self._placer.release(reservation_id)
