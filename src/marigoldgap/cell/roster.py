"""The stored roster: the workers that may have runs."""

from __future__ import annotations

import asyncio

from marigoldgap.cell import fleet
from marigoldgap.cell import leadership as leaderships
from marigoldgap.cell import records
from marigoldgap.cell import store


class Roster:
    """Stores a row for each worker before runs start on it.

    The next leader thus knows every worker that may have runs.

    Args:
        leadership: The current leadership.
    """

    def __init__(self, leadership: leaderships.Leadership) -> None:
        self._leadership = leadership

    def add(self, worker: fleet.Worker) -> None:
        """Stores the row of a worker, after which runs may start on it."""
        worker.has_roster_row = True
        stored = worker.largest_capacity
        row_key = records.roster_row_key(worker.worker_id)
        self._leadership.journal.schedule_write(
            row_key,
            lambda: records.encode_worker(
                worker.registration._replace(capacity=worker.largest_capacity)
            ),
        )

        def mark_rostered(_: asyncio.Future[None]) -> None:
            if worker.largest_capacity != stored:
                # A later write has the larger capacity.
                return
            worker.is_rostered = True
            self._leadership.request_plan()

        self._leadership.journal.stored((row_key,)).add_done_callback(
            mark_rostered
        )

    def remove(self, worker: fleet.Worker) -> None:
        """Removes the row of a worker that is gone, if there is one."""
        if worker.has_roster_row:
            self._leadership.journal.schedule_write(
                records.roster_row_key(worker.worker_id), _no_content
            )

    def remove_row(self, row_key: store.RowKey) -> None:
        """Removes a row that cannot be read, or the one of earlier versions."""
        self._leadership.journal.schedule_write(row_key, _no_content)


def _no_content() -> None:
    return None
