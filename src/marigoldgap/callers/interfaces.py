"""What the callers' API needs from other packages."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from marigoldgap.coordination import model as coordination_model
from marigoldgap.rules import model as rules_model
from marigoldgap.scheduling import model
from marigoldgap.workers import model as workers_model


class KeyVerifier(Protocol):
    """Checks callers' keys against the grants and the deny set in force."""

    def verify(self, authorization: str | None, queue: str) -> str:
        """Returns the team on whose behalf the work is accepted.

        Args:
            authorization: Value of the header, or None if it is missing.
            queue: Queue for which work is sent; an open queue needs no key.

        Raises:
            AuthenticationError: The key is missing, unknown or withdrawn.
            AuthorizationError: The key does not allow this.
        """

    def identify(self, authorization: str | None) -> str:
        """Returns the team of a key, to show or cancel its jobs.

        Raises:
            AuthenticationError: The key is missing, unknown or withdrawn.
        """


class JobsGateway(Protocol):
    """Durable jobs; `coordination` implements it."""

    async def submit(
        self, spec: coordination_model.JobSpec
    ) -> coordination_model.JobStatus:
        """Stores a job and returns its status once it cannot be lost.

        Raises:
            ImpossibleJobError: No worker could ever run it.
            StoreUnavailableError: The job was not stored.
            StoreOutcomeUnknownError: It may have been stored.
        """

    async def status(self, job_id: str) -> coordination_model.JobStatus:
        """Returns the status of a job.

        Raises:
            NotFoundError: There is no such job.
        """

    async def cancel(
        self, team: str, job_ids: Sequence[str] = (), group: str = ""
    ) -> tuple[str, ...]:
        """Cancels jobs of a team, by ids or all of a group.

        Returns:
            Ids of the jobs that are cancelled; others are unknown, belong to
            another team or have ended.
        """


class RulesSource(Protocol):
    """The rules in force."""

    @property
    def rules(self) -> rules_model.Rules:
        """The rules; their teams and queues change between calls."""


class RequestDispatcher(Protocol):
    """Runs requests; `dispatch.dispatcher.Dispatcher` implements it."""

    async def submit(
        self,
        task: model.TaskSpec,
        payload: bytes,
        forwarded: bool = False,
        idempotency_key: str = "",
    ) -> workers_model.WorkerAnswer:
        """Runs a request and returns its whole answer."""


class Readiness(Protocol):
    """Tells whether this instance can take work."""

    def not_ready_reason(self) -> str:
        """Returns why it cannot, or an empty string."""
