"""JSON bodies of `POST /v1/jobs` and `POST /v1/jobs/cancel`."""

from __future__ import annotations

import json
from typing import Annotated
from typing import Any

import pydantic

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap.coordination import model as coordination_model
from marigoldgap.rules import model as rules_model
from marigoldgap.scheduling import model

_MAX_TASKS = 100_000
_MAX_GROUP_LENGTH = 255
_GANG_KIND = "gang"

_ResourceAmount = Annotated[int, pydantic.Field(ge=0, le=1_000_000_000)]
_DurationMs = Annotated[int, pydantic.Field(ge=1)]


class _Body(pydantic.BaseModel):
    """Base model: rejects unknown fields and does not convert types."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class ResourcesBody(_Body):
    """Resources of one task."""

    slots: Annotated[int, pydantic.Field(ge=1, le=1_000_000)] = 1
    connections: _ResourceAmount = 1
    millicores: _ResourceAmount = 0
    memory_mib: _ResourceAmount = 0
    accelerators: _ResourceAmount = 0


class JobBody(_Body):
    """A job as submitted by a caller; times are in milliseconds.

    Attributes:
        deadline_ms: Latest start, relative to the submission.
        payload: Passed to each task: a string unchanged, any other value as
            JSON text.
    """

    queue: str
    tasks: Annotated[int, pydantic.Field(ge=1, le=_MAX_TASKS)] = 1
    gang: bool = False
    resources: ResourcesBody = ResourcesBody()
    expected_run_ms: _DurationMs | None = None
    deadline_ms: _DurationMs | None = None
    urgent: bool = False
    group: Annotated[str, pydantic.Field(max_length=_MAX_GROUP_LENGTH)] = ""
    payload: Any = ""
    idempotent: bool = True

    def to_job_spec(
        self, queue: rules_model.QueueRule, team: str
    ) -> coordination_model.JobSpec:
        """Returns the job of a team, with the defaults of its queue."""
        return coordination_model.JobSpec(
            team=team,
            queue=queue.name,
            kind=_GANG_KIND if self.gang else queue.kind,
            service=queue.service,
            tasks=self.tasks,
            resources=model.Resources(**self.resources.model_dump()),
            gang=self.gang,
            expected_run_ms=self.expected_run_ms,
            deadline_ms=self._wall_deadline_ms(queue),
            urgent=self.urgent,
            group=self.group,
            payload=_payload_bytes(self.payload),
            idempotent=self.idempotent,
            priority=queue.priority,
        )

    def _wall_deadline_ms(self, queue: rules_model.QueueRule) -> int | None:
        """Returns the latest start in wall-clock ms, or None if unlimited."""
        if self.deadline_ms is not None:
            return clock.wall_ms() + self.deadline_ms
        if queue.deadline_s is None:
            return None
        return (
            clock.wall_ms() + queue.deadline_s * clock.MILLISECONDS_PER_SECOND
        )


class CancelBody(_Body):
    """The jobs to cancel: either their ids or a group."""

    ids: list[str] = []
    group: str = ""


def parse_job(content: bytes) -> JobBody:
    """Parses and validates the body of a job submission.

    Raises:
        InvalidRequestError: The body is invalid; the message lists each
            field with its error.
    """
    try:
        return JobBody.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise _invalid_request(error) from error


def parse_cancel(content: bytes) -> CancelBody:
    """Parses and validates the body of a cancellation.

    Raises:
        InvalidRequestError: The body is invalid, or has both ids and a
            group, or neither.
    """
    try:
        body = CancelBody.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise _invalid_request(error) from error
    if bool(body.ids) == bool(body.group):
        raise errors.InvalidRequestError("expected either ids or a group")
    return body


def _payload_bytes(payload: Any) -> bytes:
    if isinstance(payload, str):
        return payload.encode()
    return json.dumps(payload, separators=(",", ":")).encode()


def _invalid_request(
    error: pydantic.ValidationError,
) -> errors.InvalidRequestError:
    messages = (
        f"{'.'.join(str(part) for part in issue['loc']) or 'body'}: "
        f"{issue['msg']}"
        for issue in error.errors(include_url=False, include_input=False)
    )
    return errors.InvalidRequestError("; ".join(messages))
