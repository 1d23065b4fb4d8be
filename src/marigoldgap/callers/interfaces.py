"""Interfaces of other packages that the callers' API uses."""

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
        """Returns the team that submits work to a queue.

        Args:
            authorization: `Authorization` header, or None if it is missing.
            queue: Target queue of the work; an open queue needs no key.

        Raises:
            AuthenticationError: The key is missing, unknown or withdrawn.
            AuthorizationError: The team of the key has no rule in force.
        """

    def identify(self, authorization: str | None) -> str:
        """Returns the team of a key, for showing and cancelling its jobs.

        Raises:
            AuthenticationError: The key is missing, unknown or withdrawn.
        """


class JobsGateway(Protocol):
    """Stores and runs durable jobs; implemented in `coordination`."""

    async def submit(
        self, spec: coordination_model.JobSpec
    ) -> coordination_model.JobStatus:
        """Stores a job and returns its status once it is durable.

        Raises:
            ImpossibleJobError: No worker could ever run the job.
            StoreUnavailableError: The job was not stored.
            StoreOutcomeUnknownError: The job may have been stored.
        """

    async def status(self, job_id: str) -> coordination_model.JobStatus:
        """Returns the status of a job.

        Raises:
            NotFoundError: No job has this id.
        """

    async def cancel(
        self, team: str, job_ids: Sequence[str] = (), group: str = ""
    ) -> tuple[str, ...]:
        """Cancels jobs of a team, by their ids or by their group.

        Returns:
            Ids of the cancelled jobs. Other given ids are unknown, belong to
            another team, or their jobs have ended.
        """


class RulesSource(Protocol):
    """Provides the rules in force."""

    @property
    def rules(self) -> rules_model.Rules:
        """The current rules; teams and queues may differ on each access."""


class RequestDispatcher(Protocol):
    """Runs requests; `dispatch.dispatcher.Dispatcher` implements it."""

    async def submit(
        self,
        task: model.TaskSpec,
        payload: bytes,
        forwarded: bool = False,
        idempotency_key: str = "",
    ) -> workers_model.WorkerAnswer:
        """Runs a request and returns the complete response of the worker.

        Args:
            task: The request as a task, with its deadline.
            payload: Body of the request.
            forwarded: Whether another entry instance forwarded the request.
            idempotency_key: Key of a non-idempotent request, or empty.
        """


class Readiness(Protocol):
    """Tells whether this instance can accept work."""

    def not_ready_reason(self) -> str:
        """Returns why the instance accepts no work; empty if it is ready."""
