"""The JSON body of `POST /v1/jobs`."""

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

_MOST_TASKS = 100_000
_LONGEST_NAME = 255
_GANG = "gang"

_Amount = Annotated[int, pydantic.Field(ge=0, le=1_000_000_000)]
_Duration = Annotated[int, pydantic.Field(ge=1)]


class _Body(pydantic.BaseModel):
    """Base: unknown fields are errors, and numbers are not guessed."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class ResourcesBody(_Body):
    """Resources of one task."""

    slots: Annotated[int, pydantic.Field(ge=1, le=1_000_000)] = 1
    connections: _Amount = 1
    millicores: _Amount = 0
    memory_mib: _Amount = 0
    accelerators: _Amount = 0


class JobBody(_Body):
    """A job as a caller sends it; times are in milliseconds.

    Attributes:
        deadline_ms: Latest start, counted from the submission.
        payload: Text that each task gets as it is, or JSON.
    """

    queue: str
    tasks: Annotated[int, pydantic.Field(ge=1, le=_MOST_TASKS)] = 1
    gang: bool = False
    resources: ResourcesBody = ResourcesBody()
    expected_run_ms: _Duration | None = None
    deadline_ms: _Duration | None = None
    urgent: bool = False
    group: Annotated[str, pydantic.Field(max_length=_LONGEST_NAME)] = ""
    payload: Any = ""
    idempotent: bool = True

    def spec(
        self, queue: rules_model.QueueRule, team: str
    ) -> coordination_model.JobSpec:
        """Returns the job for a team, with the defaults of its queue."""
        return coordination_model.JobSpec(
            team=team,
            queue=queue.name,
            kind=_GANG if self.gang else queue.kind,
            service=queue.service,
            tasks=self.tasks,
            resources=model.Resources(**self.resources.model_dump()),
            gang=self.gang,
            expected_run_ms=self.expected_run_ms,
            deadline_ms=self._deadline(queue),
            urgent=self.urgent,
            group=self.group,
            payload=_payload_bytes(self.payload),
            idempotent=self.idempotent,
            priority=queue.priority,
        )

    def _deadline(self, queue: rules_model.QueueRule) -> int | None:
        """Returns the latest start on the wall clock."""
        if self.deadline_ms is not None:
            return clock.wall_ms() + self.deadline_ms
        if queue.deadline_s is None:
            return None
        return (
            clock.wall_ms() + queue.deadline_s * clock.MILLISECONDS_PER_SECOND
        )


class CancelBody(_Body):
    """Which jobs to cancel: either ids or a group."""

    ids: list[str] = []
    group: str = ""


def parse_job(content: bytes) -> JobBody:
    """Returns a checked job.

    Raises:
        InvalidRequestError: The body has errors; the message lists them.
    """
    try:
        return JobBody.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise _invalid(error) from error


def parse_cancel(content: bytes) -> CancelBody:
    """Returns a checked cancellation.

    Raises:
        InvalidRequestError: It names neither ids nor a group, or both.
    """
    try:
        body = CancelBody.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise _invalid(error) from error
    if bool(body.ids) == bool(body.group):
        raise errors.InvalidRequestError("expected either ids or a group")
    return body


def _payload_bytes(payload: Any) -> bytes:
    if isinstance(payload, str):
        return payload.encode()
    return json.dumps(payload, separators=(",", ":")).encode()


def _invalid(error: pydantic.ValidationError) -> errors.InvalidRequestError:
    faults = (
        f"{'.'.join(str(part) for part in fault['loc']) or 'body'}: "
        f"{fault['msg']}"
        for fault in error.errors(include_url=False, include_input=False)
    )
    return errors.InvalidRequestError("; ".join(faults))
