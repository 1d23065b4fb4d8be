"""Interfaces that the dispatcher needs from other packages."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from marigoldgap.dispatch import model
from marigoldgap.scheduling import model as scheduling_model
from marigoldgap.table_service import model as table_service_model
from marigoldgap.workers import model as workers_model

# Requests more units of a team's limit from the coordinator. Arguments: the
# team and the number of units on top of the holding. Must not block; it is
# called again while units are missing.
RequestHolding = Callable[[str, int], None]
# Called with a team after units of it were given back, to report the return.
HoldingReturned = Callable[[str], None]


class TableReader(Protocol):
    """Reads rows of the table service."""

    async def get(self, key: str) -> table_service_model.Row | None:
        """Returns a row, or None.

        Raises:
            StoreUnavailableError: The table service did not answer.
        """


class Committer(Protocol):
    """Writes to the table service."""

    async def commit(self, transaction: table_service_model.Transaction) -> int:
        """Commits and returns the version of the written rows.

        Raises:
            ConflictError: A check failed; nothing was written.
            StoreUnavailableError: The table service did not answer; nothing
                was written.
            StoreOutcomeUnknownError: The transaction may have been written.
        """


class Claim(NamedTuple):
    """The right to run a request with an idempotency key once.

    Attributes:
        key: Key of the row that stores the claim.
        token: Random; distinguishes this claim from those of other requests.
        fingerprint: Digest of the queue and the payload of the request.
        version: Version of the row.
    """

    key: str
    token: str
    fingerprint: str
    version: int


class ClaimStore(Protocol):
    """Stores claims of idempotency keys for all entry instances."""

    async def claim(
        self, task: scheduling_model.TaskSpec, key: str, payload: bytes
    ) -> Claim | workers_model.WorkerAnswer:
        """Claims the key, or returns the answer recorded for it.

        Raises:
            DuplicateRequestError: The key was used before and no answer of the
                same request is recorded.
            StoreUnavailableError: The claim was not made or not confirmed;
                the work must not run.
        """

    async def record(
        self, claim: Claim, answer: workers_model.WorkerAnswer
    ) -> None:
        """Records the answer; does not raise on failure."""

    async def abandon(self, claim: Claim) -> None:
        """Frees the key of work that did not run; does not raise on failure."""


class Forwarder(Protocol):
    """Sends requests to other entry instances."""

    def choose(
        self,
        task: scheduling_model.TaskSpec,
        payload_bytes: int,
        expected_wait_ms: float,
    ) -> str | None:
        """Returns the instance to forward to, or None to run the task here.

        Args:
            task: The request.
            payload_bytes: Size of its body.
            expected_wait_ms: Expected wait in the queue of this instance.
        """

    async def forward(
        self, instance_id: str, task: scheduling_model.TaskSpec, payload: bytes
    ) -> workers_model.WorkerAnswer:
        """Sends the request to the other instance and returns its answer.

        Raises:
            OutcomeUnknownError: The work may have run there.
            MarigoldgapError: Another error with `ran` NO; the work did not
                run there.
        """


class PeerLoad(NamedTuple):
    """Address, location and load of another entry instance."""

    instance_id: str
    address: str
    zone: str
    region: str
    draining: bool
    load: model.EntryLoad


class PeerDirectory(Protocol):
    """Directory of the live entry instances."""

    def peers(self) -> Sequence[PeerLoad]:
        """Returns the live instances except this one."""


class RetryBudget(Protocol):
    """Limits the retries of a team in proportion to its requests."""

    def first_attempt(self, team: str) -> None:
        """Counts the first attempt of a request."""

    def take(self, team: str, attempt: int) -> bool:
        """Takes one retry from the budget; returns False if none is left.

        Args:
            team: The team.
            attempt: Number of attempts made so far.
        """

    def delay_ms(self, attempt: int, draw: Callable[[], float]) -> int:
        """Returns the delay before the next attempt, with full jitter.

        Args:
            attempt: Number of attempts made so far, at least 1.
            draw: Returns a random number from 0 up to 1.
        """


class ChooseVictim(Protocol):
    """Chooses the running task that is preempted for urgent work."""

    def __call__(
        self,
        task: scheduling_model.TaskSpec,
        running: Sequence[scheduling_model.RunningTask],
    ) -> scheduling_model.RunningTask | None:
        """Returns the task to checkpoint, or None."""
