"""What the dispatcher needs from other packages."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from marigoldgap.dispatch import model
from marigoldgap.scheduling import model as scheduling_model
from marigoldgap.table_service import model as table_service_model
from marigoldgap.workers import model as workers_model

# Asks the coordinator for more units of a team's limit. Arguments: the team
# and the number of units wanted on top of the holding. Must not block; it is
# called again while the units are missing.
RequestHolding = Callable[[str, int], None]
# Tells that units of a team were given back and can be reported.
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
            StoreUnavailableError: Nothing was written.
            StoreOutcomeUnknownError: It may have been written.
        """


class Claim(NamedTuple):
    """The right to run a request with an idempotency key once."""

    key: str
    token: str
    fingerprint: str
    version: int


class ClaimStore(Protocol):
    """Remembers idempotency keys across all entry instances."""

    async def claim(
        self, task: scheduling_model.TaskSpec, key: str, payload: bytes
    ) -> Claim | workers_model.WorkerAnswer:
        """Claims the key, or returns the answer recorded for it.

        Raises:
            DuplicateRequestError: The key was used and has no answer.
            StoreUnavailableError: The claim could not be made; the work must
                not run.
        """

    async def record(
        self, claim: Claim, answer: workers_model.WorkerAnswer
    ) -> None:
        """Records the answer; failures are not raised."""

    async def abandon(self, claim: Claim) -> None:
        """Frees the key of work that did not run; failures are not raised."""


class Forwarder(Protocol):
    """Sends requests to other entry instances."""

    def choose(
        self,
        task: scheduling_model.TaskSpec,
        payload_bytes: int,
        expected_wait_ms: float,
    ) -> str | None:
        """Returns the instance to forward to, or None to stay here."""

    async def forward(
        self, instance_id: str, task: scheduling_model.TaskSpec, payload: bytes
    ) -> workers_model.WorkerAnswer:
        """Lets the other instance run the request.

        Raises:
            OutcomeUnknownError: The work may have run there.
            MarigoldgapError: With `ran` NO; the work did not run there.
        """


class PeerLoad(NamedTuple):
    """What is known of another entry instance."""

    instance_id: str
    address: str
    zone: str
    region: str
    draining: bool
    load: model.EntryLoad


class PeerDirectory(Protocol):
    """Knows the live entry instances."""

    def peers(self) -> Sequence[PeerLoad]:
        """Returns the live instances without this one."""


class RetryBudget(Protocol):
    """Bounds retries of a team in proportion to its requests."""

    def first_attempt(self, team: str) -> None:
        """Counts a first attempt."""

    def take(self, team: str, attempt: int) -> bool:
        """Takes one retry from the budget; returns False if there is none.

        Args:
            team: The team.
            attempt: Attempts made so far.
        """

    def delay_ms(self, attempt: int, draw: Callable[[], float]) -> int:
        """Returns the delay before the next attempt, with full jitter."""


class ChooseVictim(Protocol):
    """Chooses a running task that makes room for urgent work."""

    def __call__(
        self,
        task: scheduling_model.TaskSpec,
        running: Sequence[scheduling_model.RunningTask],
    ) -> scheduling_model.RunningTask | None:
        """Returns the task to checkpoint, or None."""
