"""Decodes JSON documents of the platform into the types of `cell.model`."""

from __future__ import annotations

import re
from typing import Any

from marigoldgap import decision_log
from marigoldgap.cell import configuration_check
from marigoldgap.cell import model
from marigoldgap.cell import store
from marigoldgap.platform import decoding
from marigoldgap.platform import settings_file
from marigoldgap.web import request_heads

_log = decision_log.DecisionLogger("documents")

# Limits of a submitted job, far above the largest job that the platform
# specifies.
_MAX_PAYLOAD_BYTES = 4_000
_MAX_STEPS = 100
_MAX_TASKS = 10_000
_DRAINING = "draining"
# Fields of a registration row that change with each heartbeat: its number and the
# worker's clock.
_HEARTBEAT_FIELDS = re.compile(rb'"(seq|clockMs)":\s*[0-9]+')
_STATES = frozenset({"ready", _DRAINING})


def decode_configuration(content: bytes) -> model.Configuration:
    """Decodes the operator's configuration row.

    Raises:
        FormatError: The row is not a valid configuration.
    """
    fields = decoding.decode_object(content)
    _check_objects(fields)
    keys: dict[str, str] = {}
    workspaces: dict[str, model.Workspace] = {}
    for tenant in decoding.objects(fields, "tenants"):
        name = decoding.text(tenant, "name")
        # "weight" is the guaranteed rate in jobs per second; "cap" limits the
        # resources of the tasks that run at the same time.
        workspaces[name] = model.Workspace(
            name,
            decoding.number(tenant, "weight", 1),
            decode_demand(tenant.get("cap") or {}),
        )
        for key in decoding.texts(tenant, "apiKeys"):
            keys[key] = name
    limits = fields.get("limits") or {}
    queues = tuple(
        _decode_queue(route) for route in decoding.objects(fields, "routes")
    )
    services = frozenset(queue.service for queue in queues)
    try:
        services |= _decode_services(fields) or frozenset()
    except decoding.FormatError as error:
        # Without the list, the services of the queues are used.
        _log.warning("services_malformed", cause=str(error))
    return model.Configuration(
        decoding.integer(fields, "version"),
        queues,
        keys,
        workspaces,
        model.RequestLimits(
            decoding.integer(limits, "maxHeaderBytes", 0),
            decoding.integer(limits, "maxBodyBytes", 0),
            decoding.number(limits, "headerTimeoutMs", 0),
            decoding.number(limits, "idleTimeoutMs", 0),
        ),
        services,
    )


def decode_candidate(content: bytes) -> configuration_check.Candidate:
    """Decodes a configuration row to be checked, with all of its entries.

    Raises:
        FormatError: The row is not a valid configuration.
    """
    configuration = decode_configuration(content)
    fields = decoding.decode_object(content)
    return configuration_check.Candidate(
        configuration,
        tuple(
            configuration_check.WorkspaceEntry(
                decoding.text(tenant, "name"), decoding.texts(tenant, "apiKeys")
            )
            for tenant in decoding.objects(fields, "tenants")
        ),
        _decode_services(fields),
    )


def _decode_services(fields: dict[str, Any]) -> frozenset[str] | None:
    """Returns the names of the listed services; None without a list."""
    if "services" not in fields:
        return None
    return frozenset(
        decoding.text(service, "name")
        for service in decoding.objects(fields, "services")
    )


def _check_objects(fields: dict[str, Any]) -> None:
    """Checks the types of the nested objects of a configuration.

    Raises:
        FormatError: A value is neither an object nor empty.
    """
    nested = [("limits", fields.get("limits"))]
    for tenant in decoding.objects(fields, "tenants"):
        nested.append(("cap", tenant.get("cap")))
    for route in decoding.objects(fields, "routes"):
        nested.append(("advice", route.get("advice")))
    for name, value in nested:
        if value and not isinstance(value, dict):
            raise decoding.FormatError(f"field {name!r} is not an object")


def decode_evacuation(row_key: store.RowKey, content: bytes) -> str | None:
    """Returns the zone that a row of the operator evacuates.

    The key alone decides: starting nothing in a zone by mistake costs capacity
    until the row is removed, while ignoring a request would break it.

    Args:
        row_key: Key of the row.
        content: Content of the row; should be an empty object.

    Returns:
        The name of the zone, or None if the row is no evacuation.
    """
    configuration = settings_file.CONFIGURATION_KEY
    prefix = settings_file.EVACUATION_PREFIX
    if row_key[:2] != configuration[:2] or not row_key.key.startswith(prefix):
        return None
    zone = row_key.key.removeprefix(prefix)
    if not zone:
        _log.error("evacuation_unusable", cause="its key names no zone")
        return None
    try:
        decoding.decode_object(content)
    except decoding.FormatError as error:
        _log.warning("evacuation_malformed", zone=zone, cause=str(error))
    return zone


def _decode_queue(fields: dict[str, Any]) -> model.Queue:
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
        advice=_decode_advice(advice) if advice else None,
    )


def _decode_advice(fields: dict[str, Any]) -> model.PlacementAdvice:
    return model.PlacementAdvice(
        decoding.number(fields, "decideMs", 0),
        decoding.number(fields, "eachMs", 0),
        decoding.number(fields, "validMs", 0),
    )


def decode_demand(fields: dict[str, Any]) -> model.Demand:
    """Decodes the resources that a task needs or a worker has.

    Raises:
        FormatError: An amount is not a non-negative integer.
    """
    return model.Demand(
        # In millicores.
        decoding.integer(fields, "cpu", 0),
        decoding.integer(fields, "memMb", 0),
        decoding.integer(fields, "gpu", 0),
    )


def registration_signature(content: bytes) -> bytes:
    """Returns a worker's registration row without what each heartbeat changes."""
    return _HEARTBEAT_FIELDS.sub(b"", content)


def decode_registration(
    worker_id: str, content: bytes, now: float
) -> model.Registration:
    """Decodes a worker's registration row.

    Args:
        worker_id: Identifier of the worker.
        content: Content of the row.
        now: Monotonic time of the response with the row, in seconds.

    Raises:
        FormatError: The row is not a valid registration; the worker cannot be
            used.
    """
    # Each call to a worker names it in a header.
    if not request_heads.is_header_value(worker_id):
        raise decoding.FormatError("the id of the worker cannot be sent")
    fields = decoding.decode_object(content)
    state = decoding.text(fields, "state")
    if state not in _STATES:
        raise decoding.FormatError(f"unknown worker state {state!r}")
    capacity = fields.get("capacity")
    if not isinstance(capacity, dict):
        raise decoding.FormatError("field 'capacity' is not an object")
    labels = decoding.texts(fields, "labels")
    cold_ms = decoding.number(fields, "coldRemainingMs", 0)
    return model.Registration(
        worker_id=worker_id,
        service=decoding.text(fields, "service"),
        address=_decode_address(fields),
        zone=decoding.text(fields, "zone"),
        is_draining=state == _DRAINING,
        capacity=decode_demand(capacity),
        labels=frozenset(labels),
        # The first label is the kind of the worker, the second its rack.
        rack=labels[1] if len(labels) > 1 else "",
        born_ms=decoding.integer(fields, "born", 0),
        cold_until_s=now + cold_ms / 1000 if cold_ms else 0.0,
    )


def _decode_address(fields: dict[str, Any]) -> str:
    address = decoding.text(fields, "address")
    if not request_heads.is_address(address):
        raise decoding.FormatError(f"invalid address {address!r}")
    return address


def decode_job(content: bytes) -> model.JobSpec:
    """Decodes a submitted job.

    Raises:
        FormatError: The job is malformed or exceeds a limit.
    """
    fields = decoding.decode_object(content)
    payload = decoding.text(fields, "spec", "")
    if len(payload.encode()) > _MAX_PAYLOAD_BYTES:
        raise decoding.FormatError(
            f"field 'spec' is longer than {_MAX_PAYLOAD_BYTES} bytes"
        )
    steps = tuple(
        _decode_step(step) for step in decoding.objects(fields, "steps")
    )
    if not 0 < len(steps) <= _MAX_STEPS:
        raise decoding.FormatError(
            f"job has {len(steps)} steps, not 1 to {_MAX_STEPS}"
        )
    if sum(step.task_count for step in steps) > _MAX_TASKS:
        raise decoding.FormatError(f"job has more than {_MAX_TASKS} tasks")
    for position, step in enumerate(steps):
        if any(required >= position for required in step.after):
            raise decoding.FormatError(
                f"step {position} depends on itself or on a later step"
            )
    return model.JobSpec(
        payload,
        steps,
        decoding.integer(fields, "startAtMs", 0),
        decoding.integer(fields, "intervalMs", 0),
        decoding.integer(fields, "repeats", 0),
    )


def _decode_step(fields: dict[str, Any]) -> model.StepSpec:
    after = fields.get("after", [])
    if not isinstance(after, list) or not all(
        isinstance(position, int) and position >= 0 for position in after
    ):
        raise decoding.FormatError(
            "field 'after' of a step is not a list of step numbers"
        )
    count = decoding.integer(fields, "count", 0)
    if count < 1:
        raise decoding.FormatError("field 'count' of a step is less than 1")
    return model.StepSpec(
        task_count=count,
        demand=decode_demand(fields),
        estimate_ms=decoding.integer(fields, "estimateMs", 0),
        after=tuple(after),
        checkpoints=decoding.flag(fields, "checkpoint"),
        is_gang=decoding.flag(fields, "gang"),
        same_rack=decoding.flag(fields, "colocated"),
        required_label=decoding.text(fields, "requiredLabel", ""),
        # Rack that holds the input data; tasks may run on other racks, but
        # run slower there.
        data_rack=decoding.text(fields, "affinity", ""),
        # Maximum number of tasks of the step on one worker; despite its name,
        # the field does not forbid that tasks share a worker.
        max_per_worker=decoding.integer(fields, "antiAffinity", 0),
        may_run_twice=decoding.flag(fields, "speculative"),
        is_long_running=decoding.flag(fields, "longRunning"),
        uses_idle_only=decoding.flag(fields, "fills"),
    )
