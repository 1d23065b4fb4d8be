"""Decodes the documents of the platform into types of the product."""

from __future__ import annotations

from typing import Any

from marigoldgap.cell import model
from marigoldgap.platform import decoding

# Bounds of a submitted job; the largest that the pages describe are far below.
_MAX_PAYLOAD_BYTES = 4_000
_MAX_STEPS = 100
_MAX_TASKS = 10_000
_DRAINING = "draining"
_STATES = frozenset({"ready", _DRAINING})


def decode_configuration(content: bytes) -> model.Configuration:
    """Decodes the row with the operator's configuration.

    Raises:
        FormatError: It cannot be read.
    """
    fields = decoding.decode_object(content)
    keys: dict[str, str] = {}
    workspaces: dict[str, model.Workspace] = {}
    for tenant in decoding.objects(fields, "tenants"):
        name = decoding.text(tenant, "name")
        # "weight" is the rate of jobs a second up to which work is owed;
        # "cap" is what may run at once.
        workspaces[name] = model.Workspace(
            name,
            decoding.number(tenant, "weight", 1),
            decode_demand(tenant.get("cap") or {}),
        )
        for key in decoding.texts(tenant, "apiKeys"):
            keys[key] = name
    limits = fields.get("limits") or {}
    return model.Configuration(
        decoding.integer(fields, "version"),
        tuple(_queue(each) for each in decoding.objects(fields, "routes")),
        keys,
        workspaces,
        model.RequestLimits(
            decoding.integer(limits, "maxHeaderBytes", 0),
            decoding.integer(limits, "maxBodyBytes", 0),
            decoding.number(limits, "headerTimeoutMs", 0),
            decoding.number(limits, "idleTimeoutMs", 0),
        ),
    )


def _queue(fields: dict[str, Any]) -> model.Queue:
    advice = fields.get("advice")
    return model.Queue(
        name=decoding.text(fields, "name"),
        host=decoding.text(fields, "host"),
        prefix=decoding.text(fields, "prefix"),
        service=decoding.text(fields, "service", ""),
        priority=decoding.integer(fields, "priority", 0),
        attempts=decoding.integer(fields, "attempts", 1),
        stretch=decoding.number(fields, "stretch", 1),
        target_ms=decoding.number(fields, "targetDurationMs", 0),
        is_open=decoding.flag(fields, "anonymous"),
        advice=_advice(advice) if advice else None,
    )


def _advice(fields: dict[str, Any]) -> model.PlacementAdvice:
    return model.PlacementAdvice(
        decoding.number(fields, "decideMs", 0),
        decoding.number(fields, "eachMs", 0),
        decoding.number(fields, "validMs", 0),
    )


def decode_demand(fields: dict[str, Any]) -> model.Demand:
    """Decodes amounts of resources.

    Raises:
        FormatError: An amount is not a whole number.
    """
    return model.Demand(
        # Thousandths of a core.
        decoding.integer(fields, "cpu", 0),
        decoding.integer(fields, "memMb", 0),
        decoding.integer(fields, "gpu", 0),
    )


def decode_registration(worker_id: str, content: bytes) -> model.Registration:
    """Decodes a worker's entry in the store.

    Raises:
        FormatError: It cannot be read and names no worker to use.
    """
    fields = decoding.decode_object(content)
    state = decoding.text(fields, "state")
    if state not in _STATES:
        raise decoding.FormatError(f"unknown state {state}")
    capacity = fields.get("capacity")
    if not isinstance(capacity, dict):
        raise decoding.FormatError("capacity is not an object")
    labels = decoding.texts(fields, "labels")
    return model.Registration(
        worker_id=worker_id,
        service=decoding.text(fields, "service"),
        address=decoding.text(fields, "address"),
        zone=decoding.text(fields, "zone"),
        is_draining=state == _DRAINING,
        capacity=decode_demand(capacity),
        labels=frozenset(labels),
        # The kind comes first, then the rack.
        rack=labels[1] if len(labels) > 1 else "",
        born_ms=decoding.integer(fields, "born", 0),
    )


def decode_job(content: bytes) -> model.JobSpec:
    """Decodes a submitted job.

    Raises:
        FormatError: It cannot be read or is out of bounds.
    """
    fields = decoding.decode_object(content)
    payload = decoding.text(fields, "spec", "")
    if len(payload.encode()) > _MAX_PAYLOAD_BYTES:
        raise decoding.FormatError("spec is too long")
    steps = tuple(_step(each) for each in decoding.objects(fields, "steps"))
    if not 0 < len(steps) <= _MAX_STEPS:
        raise decoding.FormatError("the number of steps is out of bounds")
    if sum(step.task_count for step in steps) > _MAX_TASKS:
        raise decoding.FormatError("the job has too many tasks")
    for position, step in enumerate(steps):
        if any(earlier >= position for earlier in step.after):
            raise decoding.FormatError("a step waits for a later step")
    return model.JobSpec(
        payload,
        steps,
        decoding.integer(fields, "startAtMs", 0),
        decoding.integer(fields, "intervalMs", 0),
        decoding.integer(fields, "repeats", 0),
    )


def _step(fields: dict[str, Any]) -> model.StepSpec:
    after = fields.get("after", [])
    if not isinstance(after, list) or not all(
        isinstance(each, int) and each >= 0 for each in after
    ):
        raise decoding.FormatError("after is not a list of step numbers")
    count = decoding.integer(fields, "count", 0)
    if count < 1:
        raise decoding.FormatError("a step without tasks")
    return model.StepSpec(
        task_count=count,
        demand=decode_demand(fields),
        estimate_ms=decoding.integer(fields, "estimateMs", 0),
        after=tuple(after),
        checkpoints=decoding.flag(fields, "checkpoint"),
        is_gang=decoding.flag(fields, "gang"),
        same_rack=decoding.flag(fields, "colocated"),
        required_label=decoding.text(fields, "requiredLabel", ""),
        # The rack where the data is; tasks run elsewhere, only slower.
        data_rack=decoding.text(fields, "affinity", ""),
        # A bound of tasks on one worker, not a ban.
        max_per_worker=decoding.integer(fields, "antiAffinity", 0),
        may_run_twice=decoding.flag(fields, "speculative"),
        is_long_running=decoding.flag(fields, "longRunning"),
        uses_idle_only=decoding.flag(fields, "fills"),
    )
