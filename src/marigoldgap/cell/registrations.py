"""Registered workers, and which of them this cell may use.

The table of registrations has the workers of other systems, too. Only those of
services that a configuration names are used; no call is sent to any other.
"""

from __future__ import annotations

from collections.abc import Iterable

from marigoldgap.cell import fleet
from marigoldgap.cell import model


class Registrations:
    """Keeps the registrations of workers, also of those that are not used.

    It grows with the registered workers and with the services that were named
    during one leadership.
    """

    def __init__(self) -> None:
        self._by_worker: dict[str, model.Registration] = {}
        # A service that is no longer named stays here: its workers keep their runs.
        self._services: set[str] = set()

    @property
    def worker_ids(self) -> Iterable[str]:
        """All registered workers."""
        return self._by_worker.keys()

    def used_ids(self) -> list[str]:
        """Returns the registered workers that may be used."""
        return [
            worker_id
            for worker_id, registration in self._by_worker.items()
            if registration.service in self._services
        ]

    def get_used(self, worker_id: str) -> model.Registration | None:
        """Returns the registration of a worker; None if it may not be used."""
        registration = self._by_worker.get(worker_id)
        if registration is None or registration.service not in self._services:
            return None
        return registration

    def is_left_alone(self, worker_id: str) -> bool:
        """Returns whether a worker is registered for a service that is not named."""
        return worker_id in self._by_worker and self.get_used(worker_id) is None

    def unreachable_share(self, workers: fleet.Fleet) -> float:
        """Returns the share of the workers in use that do not answer.

        Args:
            workers: The workers with a session.
        """
        used_ids = self.used_ids()
        if not used_ids:
            return 0.0
        known = map(workers.get, used_ids)
        answering = sum(
            worker is not None and worker.contact is fleet.Contact.ANSWERING
            for worker in known
        )
        return 1 - answering / len(used_ids)

    def put(self, registration: model.Registration) -> None:
        """Adds or replaces the registration of a worker."""
        self._by_worker[registration.worker_id] = registration

    def remove(self, worker_id: str) -> None:
        """Removes the registration of a worker."""
        self._by_worker.pop(worker_id, None)

    def add_services(self, names: Iterable[str]) -> list[model.Registration]:
        """Records the services that a configuration or an open job names.

        Returns:
            The registrations of the workers that may be used from now on.
        """
        added = set(names) - self._services
        if not added:
            return []
        self._services |= added
        return [
            registration
            for registration in self._by_worker.values()
            if registration.service in added
        ]
