"""Keys and encoding of the rows that a cell keeps in the store."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.cell import model
from marigoldgap.cell import record_checks
from marigoldgap.cell import store

# Longest value of a row: 64 KiB in Base64.
MAX_ROW_BYTES = 49_152
JOBS = "jobs"
# Table of the election and heartbeat rows; also the name of the one
# partition for all rows that the leader writes, in this and other tables, so
# that each of its transactions can check the election row.
CELL = "cell"
PROGRESS = "progress"
# Archived jobs, in the partitions of their records.
ENDED = "ended"
ELECTION = store.RowKey(CELL, CELL, "election")
# Heartbeat row. Its key sorts before that of the election row, so that one
# range reads both.
HEARTBEAT = store.RowKey(CELL, CELL, "beat")
ELECTION_RANGE = ("beat", "election\0")
# Learned run times. Its key is outside the range above.
TIMES = store.RowKey(CELL, CELL, "times")
# Workers that may have runs, a row for each: one row for all of them would
# exceed the size of a row from about 300 workers on.
ROSTER = "roster"
# The one row of earlier versions; a new leader replaces it.
FORMER_ROSTER = store.RowKey(CELL, CELL, "roster")
INSTANCES = "instances"
# Instance that reads the configuration for its zone, in a partition for each zone.
READERS = "readers"
# A partition applies its transactions one after the other. With a store that
# is 80 times slower than usual (0.33 s for each), this many partitions accept
# 190 jobs per second.
JOB_PARTITIONS = tuple(f"j{number}" for number in range(64))


class ArchivedJob(NamedTuple):
    """Stored form of an archived job.

    Attributes:
        state: Final state of the job.
        ended_ms: Wall time, in ms, at which the job was archived.
        is_tombstone: Whether the job was cancelled before it was stored: it is
            not shown to callers, but its submission is refused.
    """

    state: model.JobState
    ended_ms: int
    is_tombstone: bool = False


class ProgressPart(NamedTuple):
    """Identifies a row with the progress of some tasks of one step.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        part: Number of the part, from 0.
    """

    occurrence: int
    step: int
    part: int


class RecordError(errors.MarigoldgapError):
    """A stored record cannot be read."""

    code = "record-invalid"


def job_row_key(job_id: str) -> store.RowKey:
    """Returns the key of the row that holds a job's record."""
    number = int(job_id[:2], 16) % len(JOB_PARTITIONS)
    return store.RowKey(JOBS, JOB_PARTITIONS[number], job_id)


def ended_row_key(job_id: str) -> store.RowKey:
    """Returns the key of the row that replaces the record of an ended job.

    Both rows are in one partition, so that a submission can check both.
    """
    return job_row_key(job_id)._replace(table=ENDED)


def progress_row_key(job_id: str) -> store.RowKey:
    """Returns the key of the row that holds a job's progress."""
    return store.RowKey(PROGRESS, CELL, job_id)


def progress_part_row_key(job_id: str, part: ProgressPart) -> store.RowKey:
    """Returns the key of a row with the progress of some tasks of a job."""
    numbers = ".".join(str(number) for number in part)
    return store.RowKey(PROGRESS, CELL, f"{job_id}.{numbers}")


def parse_progress_key(key: str) -> tuple[str, ProgressPart | None]:
    """Returns the job of a progress row, and its part unless it is the first.

    Raises:
        RecordError: The key is invalid.
    """
    job_id, *numbers = key.split(".")
    if not numbers:
        return job_id, None
    try:
        return job_id, ProgressPart(*map(int, numbers))
    except (TypeError, ValueError) as error:
        raise RecordError(f"invalid key of a progress row: {key}") from error


def decode(content: bytes | None) -> dict[str, Any]:
    """Returns the decoded JSON object.

    Raises:
        RecordError: The content is not a JSON object.
    """
    return json_object.decode(content or b"", RecordError)


def encode_job(record: model.JobRecord) -> bytes:
    """Returns the stored form of a job."""
    spec = record.spec
    fields = {
        "queue": record.queue,
        "workspace": record.workspace,
        "accepted": record.accepted_ms,
        "payload": spec.payload,
        "steps": [_encode_step(step) for step in spec.steps],
        "due": spec.first_due_ms,
        "interval": spec.interval_ms,
        "occurrences": spec.occurrences,
        "cancelled": record.is_cancelled,
    }
    return json_object.encode(
        {name: value for name, value in fields.items() if value}
    )


def decode_job(job_id: str, content: bytes | None) -> model.JobRecord:
    """Returns the job record in the content of a row.

    Raises:
        RecordError: The content is invalid.
    """
    fields = decode(content)
    try:
        spec = model.JobSpec(
            fields.get("payload", ""),
            tuple(_decode_step(each) for each in fields["steps"]),
            fields.get("due", 0),
            fields.get("interval", 0),
            fields.get("occurrences", 0),
        )
        record = model.JobRecord(
            job_id,
            _decode_queue(fields["queue"]),
            fields.get("workspace", ""),
            fields.get("accepted", 0),
            spec,
            fields.get("cancelled", False),
        )
        record_checks.check_job(record)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise RecordError(
            f"invalid record of job {job_id}: {error!r}"
        ) from error
    return record


def decode_job_row(row: store.Row) -> model.JobRecord:
    """Returns the record of a job that the leader may run.

    Raises:
        RecordError: The content is invalid, a step depends on none or on a later
            one, or the row is in the partition of other jobs: its archiving
            would not remove it, and each new leader would run the job again.
    """
    record = decode_job(row.row_key.key, row.value)
    try:
        record_checks.check_prerequisites(record.spec)
    except ValueError as error:
        raise RecordError(str(error)) from error
    if row.row_key != job_row_key(record.job_id):
        raise RecordError(
            f"job {record.job_id} is in partition {row.row_key.partition}"
        )
    return record


def encode_ended(state: model.JobState, ended_ms: int) -> bytes:
    """Returns the stored form of an archived job.

    Args:
        state: Final state of the job.
        ended_ms: Wall time, in ms, at which the job was archived.
    """
    return json_object.encode({"state": state.value, "ended": ended_ms})


def encode_tombstone(cancelled_ms: int) -> bytes:
    """Returns the stored form of a job that was cancelled before it was stored.

    Earlier versions read it as an archived job that was cancelled.

    Args:
        cancelled_ms: Wall time of the cancellation, in ms.
    """
    return json_object.encode(
        {
            "state": model.JobState.CANCELLED.value,
            "ended": cancelled_ms,
            "tombstone": True,
        }
    )


def decode_ended(content: bytes | None) -> ArchivedJob:
    """Returns the archived job in the content of a row.

    Raises:
        RecordError: The content is invalid.
    """
    fields = decode(content)
    try:
        return ArchivedJob(
            model.JobState(fields["state"]),
            int(fields["ended"]),
            fields.get("tombstone") is True,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"invalid archived job: {error!r}") from error


def _decode_queue(values: list[Any]) -> model.Queue:
    queue = model.Queue(*values)
    if queue.advice is None:
        return queue
    return queue._replace(advice=model.PlacementAdvice(*queue.advice))


def _encode_step(step: model.StepSpec) -> dict[str, Any]:
    defaults = model.StepSpec._field_defaults
    return {
        name: value
        for name, value in step._asdict().items()
        if name not in defaults or value != defaults[name]
    }


def _decode_step(fields: dict[str, Any]) -> model.StepSpec:
    values = dict(fields)
    values["demand"] = model.Demand(*values["demand"])
    values["after"] = tuple(values.get("after", ()))
    return model.StepSpec(**values)


def roster_row_key(worker_id: str) -> store.RowKey:
    """Returns the key of the row of a worker that may have runs."""
    return store.RowKey(ROSTER, CELL, worker_id)


def encode_worker(worker: model.Registration) -> bytes:
    """Returns the stored form of a worker that may have runs.

    The time until which it is cold is left out: it is on the clock of this
    instance, and earlier versions do not know it.
    """
    fields = {**worker._asdict(), "labels": sorted(worker.labels)}
    del fields["cold_until_s"]
    return json_object.encode(fields)


def decode_worker(content: bytes | None) -> model.Registration:
    """Returns a worker that may have runs.

    Raises:
        RecordError: The content is invalid.
    """
    return _decode_worker(decode(content))


def decode_roster_row(row: store.Row) -> model.Registration:
    """Returns the worker of a row of the roster.

    Raises:
        RecordError: The content is invalid or that of another worker.
    """
    registration = decode_worker(row.value)
    if registration.worker_id != row.row_key.key:
        raise RecordError(
            f"row {row.row_key.key} has worker {registration.worker_id}"
        )
    return registration


def decode_former_roster(content: bytes | None) -> list[model.Registration]:
    """Returns the workers in the row of earlier versions.

    Raises:
        RecordError: The content is invalid.
    """
    return [_decode_worker(row) for row in decode(content).get("workers", ())]


def _decode_worker(fields: dict[str, Any]) -> model.Registration:
    try:
        values = dict(fields)
        values["capacity"] = model.Demand(*values["capacity"])
        values["labels"] = frozenset(values["labels"])
        registration = model.Registration(**values)
        record_checks.check_worker(registration)
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"invalid worker: {error!r}") from error
    return registration
