"""JSON formats and header names of the worker interface.

Section 3.3 of the design page describes them.
"""

from __future__ import annotations

from collections.abc import Mapping
import json
from typing import Any
from typing import NamedTuple

from marigoldgap import errors
from marigoldgap.scheduling import model
from marigoldgap.workers import model as workers_model

HEADER_EPOCH = "Marigoldgap-Epoch"
HEADER_VALID_UNTIL = "Marigoldgap-Valid-Until-Ms"
HEADER_MODE = "Marigoldgap-Mode"
HEADER_TASK = "Marigoldgap-Task"
HEADER_TASK_ID = "marigoldgap-task-id"

MODE_REQUEST = "request"
MODE_JOB = "job"

STATE_LEAVING = "leaving"
# Only these codes guarantee that the task did not run.
REFUSALS = frozenset(
    {"stale-epoch", "expired", "busy", "duplicate", "leaving", "stopped"}
)


# Reused, as `json.dumps` with separators creates an encoder on each call.
_encode = json.JSONEncoder(separators=(",", ":")).encode


class LeaseAnswer(NamedTuple):
    """A granted lease.

    Attributes:
        now_ms: The worker's monotonic clock when it answered.
        capacity: Capacity of the worker; None if the answer omits it.
        inventory: Running tasks; None if the epoch is not new.
    """

    epoch: int
    ttl_ms: int
    now_ms: int
    incarnation: str
    capacity: model.Resources | None
    service: str
    leaving: bool
    seq: int
    changes: tuple[workers_model.TaskChange, ...]
    inventory: tuple[model.RunningTask, ...] | None
    usage: tuple[workers_model.TaskUsage, ...]


class ChangesAnswer(NamedTuple):
    """Changes after the requested sequence number."""

    seq: int
    incarnation: str
    changes: tuple[workers_model.TaskChange, ...]


def parse_object(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in the body.

    Raises:
        ProtocolError: The body is not a JSON object.
    """
    try:
        parsed = json.loads(body)
    except ValueError as error:
        raise errors.ProtocolError("the body is not JSON") from error
    if not isinstance(parsed, dict):
        raise errors.ProtocolError("the body is not a JSON object")
    return parsed


def parse_lease(worker_id: str, body: bytes) -> LeaseAnswer:
    """Returns the lease that a worker granted.

    Raises:
        ProtocolError: A field is missing or has the wrong type.
    """
    answer = parse_object(body)
    try:
        return _lease(worker_id, answer)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.ProtocolError(
            "a field of the lease answer is missing or has the wrong type: "
            f"{error}"
        ) from error


def parse_changes(worker_id: str, body: bytes) -> ChangesAnswer:
    """Returns the changes that a worker reported.

    Raises:
        ProtocolError: A field is missing or has the wrong type.
    """
    answer = parse_object(body)
    try:
        return ChangesAnswer(
            int(answer["seq"]),
            str(answer["incarnation"]),
            _changes(worker_id, answer),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.ProtocolError(
            f"a field of the changes is missing or has the wrong type: {error}"
        ) from error


def task_header(task: model.TaskSpec) -> str:
    """Returns the header value that describes a task to a worker."""
    return _encode(
        {
            "task_id": task.task_id,
            "team": task.team,
            "queue": task.queue,
            "resources": task.resources._asdict(),
            "job_id": task.job_id,
            "attempt": task.attempt,
            "expected_run_ms": task.expected_run_ms,
        }
    )


def refusal_code(body: bytes) -> str:
    """Returns the code of a refusal, or an empty string."""
    try:
        return str(parse_object(body).get("code", ""))
    except errors.ProtocolError:
        return ""


def _lease(worker_id: str, answer: Mapping[str, Any]) -> LeaseAnswer:
    worker = answer.get("worker") or {}
    capacity = worker.get("capacity")
    inventory = answer.get("inventory")
    return LeaseAnswer(
        epoch=int(answer["epoch"]),
        ttl_ms=int(answer["ttl_ms"]),
        now_ms=int(answer["now_ms"]),
        incarnation=str(answer["incarnation"]),
        capacity=None if capacity is None else _resources(capacity),
        service=str(worker.get("service", "")),
        leaving=answer.get("state") == STATE_LEAVING,
        seq=int(answer["seq"]),
        changes=_changes(worker_id, answer),
        inventory=None if inventory is None else _tasks(worker_id, inventory),
        usage=_usage(worker_id, answer),
    )


def _resources(fields: Mapping[str, Any]) -> model.Resources:
    return model.Resources(
        **{name: int(fields.get(name, 0)) for name in model.Resources._fields}
    )


def _tasks(worker_id: str, tasks: Any) -> tuple[model.RunningTask, ...]:
    return tuple(
        model.RunningTask(
            task_id=str(task["task_id"]),
            worker_id=worker_id,
            team=str(task["team"]),
            queue=str(task["queue"]),
            resources=_resources(task["resources"]),
            job_id=str(task.get("job_id") or ""),
            attempt=int(task.get("attempt") or 0),
        )
        for task in tasks
    )


def _changes(
    worker_id: str, answer: Mapping[str, Any]
) -> tuple[workers_model.TaskChange, ...]:
    return tuple(
        workers_model.TaskChange(
            worker_id,
            str(change["task_id"]),
            str(change["state"]),
            change.get("exit_code"),
        )
        for change in answer.get("changes") or ()
    )


def _usage(
    worker_id: str, answer: Mapping[str, Any]
) -> tuple[workers_model.TaskUsage, ...]:
    return tuple(
        workers_model.TaskUsage(
            worker_id,
            task_id,
            int(used.get("millicores", 0)),
            int(used.get("memory_mib", 0)),
        )
        for task_id, used in (answer.get("usage") or {}).items()
    )
