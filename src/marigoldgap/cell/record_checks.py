"""Checks the types and ranges of stored records.

Other programs write to the same tables. A record with a list for a text or an
infinite number would fail later, where an error costs more than the record.
"""

from __future__ import annotations

import re
from typing import Any

from marigoldgap.cell import model
from marigoldgap.web import request_heads

# A float can represent it, and its product with the number of an occurrence.
_MAX_TIME_MS = 2**256
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")


def is_job_id(value: str) -> bool:
    """Returns whether a text is the identifier of a job."""
    return _JOB_ID.fullmatch(value) is not None


def check_job(record: model.JobRecord) -> None:
    """Checks the fields of a job on their own.

    Raises:
        ValueError: A field has another type or is out of range.
    """
    if not is_job_id(record.job_id):
        raise ValueError(f"{record.job_id!r} is no identifier of a job")
    _check_text("workspace", record.workspace)
    _check_integer("accepted", record.accepted_ms)
    _check_flag("cancelled", record.is_cancelled)
    spec = record.spec
    _check_text("payload", spec.payload)
    _check_time("due", spec.first_due_ms)
    _check_time("interval", spec.interval_ms)
    _check_integer("occurrences", spec.occurrences)
    if not spec.steps:
        raise ValueError("the job has no steps")
    for step in spec.steps:
        _check_step(step)
    _check_queue(record.queue)


def check_prerequisites(spec: model.JobSpec) -> None:
    """Checks that each step depends on earlier ones only.

    Raises:
        ValueError: A step depends on itself, on a later step or on none of the
            job.
    """
    for number, step in enumerate(spec.steps):
        if any(required >= number for required in step.after):
            raise ValueError(f"step {number} does not depend on earlier steps")


def check_worker(registration: model.Registration) -> None:
    """Checks the fields of a worker.

    Raises:
        ValueError: A field has another type or is out of range.
    """
    _check_text("worker_id", registration.worker_id)
    if not request_heads.is_header_value(registration.worker_id):
        raise ValueError("the id of the worker cannot be sent")
    if not request_heads.is_address(registration.address):
        raise ValueError(f"invalid address {registration.address!r}")
    for name in ("service", "zone", "rack"):
        _check_text(name, getattr(registration, name))
    for label in registration.labels:
        _check_text("label", label)
    _check_flag("is_draining", registration.is_draining)
    _check_demand(registration.capacity)
    _check_integer("born_ms", registration.born_ms)
    _check_number("cold_until_s", registration.cold_until_s)


def _check_step(step: model.StepSpec) -> None:
    _check_integer("task_count", step.task_count)
    if step.task_count < 1:
        raise ValueError("a step has no tasks")
    _check_demand(step.demand)
    for name in ("estimate_ms", "max_per_worker"):
        _check_integer(name, getattr(step, name))
    for required in step.after:
        _check_integer("after", required)
    for name in ("required_label", "data_rack"):
        _check_text(name, getattr(step, name))
    for name in (
        "checkpoints",
        "is_gang",
        "same_rack",
        "may_run_twice",
        "is_long_running",
        "uses_idle_only",
    ):
        _check_flag(name, getattr(step, name))


def _check_queue(queue: model.Queue) -> None:
    for name in ("name", "host", "prefix", "service"):
        _check_text(name, getattr(queue, name))
    for name in ("priority", "attempts"):
        _check_integer(name, getattr(queue, name))
    for name in ("stretch", "target_ms"):
        _check_number(name, getattr(queue, name))
    _check_flag("is_open", queue.is_open)
    if queue.advice is not None:
        for name, value in queue.advice._asdict().items():
            _check_number(name, value)


def _check_demand(demand: model.Demand) -> None:
    for name, amount in demand._asdict().items():
        _check_integer(name, amount)


def _check_text(name: str, value: Any) -> None:
    if not isinstance(value, str):
        raise ValueError(f"field {name!r} is not a text: {value!r:.80}")


def _check_flag(name: str, value: Any) -> None:
    if not isinstance(value, bool):
        raise ValueError(f"field {name!r} is not a Boolean: {value!r:.80}")


def _check_integer(name: str, value: Any) -> None:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"field {name!r} is not an integer: {value!r:.80}")
    _check_number(name, value)


def _check_time(name: str, value: Any) -> None:
    """Checks a time, which may lie in the past: an occurrence is due at once."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"field {name!r} is not an integer: {value!r:.80}")
    if abs(value) > _MAX_TIME_MS:
        raise ValueError(f"field {name!r} is out of range")


def _check_number(name: str, value: Any) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"field {name!r} is not a number: {value!r:.80}")
    # Also false for a value that is not a number.
    if not 0 <= value <= model.MAX_INTEGER:
        raise ValueError(f"field {name!r} is out of range")
