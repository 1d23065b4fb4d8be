"""Interface of the leader to the sessions with its workers."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import Protocol

from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import runs


class SessionListener(Protocol):
    """Receives the events of worker sessions.

    Attributes:
        ready: Set once listings are applied; before that, ended runs are not
            acknowledged.
    """

    ready: asyncio.Event

    @property
    def epoch(self) -> int:
        """Epoch of the leader; the fencing token of all commands."""

    def may_start(self) -> bool:
        """Returns whether starts of runs may be sent."""

    def limit_lease_s(self, lease_s: float) -> float:
        """Returns for how many seconds a lease may be granted; 0 for none."""

    def exceeds_limit(self, run: runs.Run) -> bool:
        """Returns whether a run would exceed the limit of its workspace."""

    def is_evacuated(self, run: runs.Run) -> bool:
        """Returns whether the evacuation of its zone withdraws a start."""

    def on_listing(
        self,
        worker: fleet.Worker,
        listing: model.WorkerListing,
        sent_s: float,
    ) -> None:
        """Applies a worker's listing of its runs."""

    def on_gone(
        self, worker: fleet.Worker, has_ended: bool, cause: str
    ) -> None:
        """Ends the runs of a worker that is known to be gone.

        Args:
            worker: The worker.
            has_ended: Whether its process is known to have ended; otherwise
                only its lease has expired.
            cause: Evidence, for the log.
        """

    def on_silent(self, worker: fleet.Worker, cause: str) -> None:
        """Stops placing runs on a worker that does not answer."""

    def on_started(self, run: runs.Run) -> None:
        """Handles the confirmation of a start."""

    def on_uncertain_refusal(
        self, run: runs.Run, outcome: model.StartOutcome
    ) -> None:
        """Handles a refusal while an earlier start may be carried out."""

    def on_refused(self, run: runs.Run, outcome: model.StartOutcome) -> None:
        """Handles a refusal after which the worker never starts the run."""

    def on_fenced(self, worker: fleet.Worker, cause: str) -> None:
        """Handles a worker that refuses the fencing token as too low."""

    def stored(self, job_ids: Collection[str]) -> asyncio.Future[None]:
        """Returns a future that is done once the progress of jobs is stored."""

    def idle_pause_s(self) -> float:
        """Returns the pause between two renewals for a worker without runs."""
