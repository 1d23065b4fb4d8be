"""Codec for job rows `jobs/<zone>/<job id>` and `done/<zone>/<job id>`."""

from __future__ import annotations

import base64
from typing import Any

from marigoldgap import errors
from marigoldgap.coordination import job_state
from marigoldgap.coordination import model as jobs_model
from marigoldgap.scheduling import model
from marigoldgap.table_service import model as table_service_model


def open_prefix(zone: str) -> str:
    """Returns the key prefix of the open jobs of a zone."""
    return f"jobs/{zone}/"


def open_key(zone: str, job_id: str) -> str:
    """Returns the key of an open job."""
    return f"jobs/{zone}/{job_id}"


def done_key(zone: str, job_id: str) -> str:
    """Returns the key of a closed job."""
    return f"done/{zone}/{job_id}"


def open_value(
    spec: jobs_model.JobSpec,
    reference: str = "",
    start_mark: int = 0,
    cancelled: bool = False,
) -> dict[str, Any]:
    """Returns the value of an open job's row.

    Args:
        spec: The job; its payload is omitted if `reference` is given.
        reference: Key of the payload in the object store.
        start_mark: Tasks of a non-idempotent job below this index may have
            run.
        cancelled: Whether the job was cancelled and is being stopped.
    """
    payload = b"" if reference else spec.payload
    content = spec._asdict()
    content["resources"] = spec.resources._asdict()
    content["payload"] = base64.b64encode(payload).decode()
    return {
        "spec": content,
        "reference": reference,
        "started": start_mark,
        "cancelled": cancelled,
    }


def parse_job(row: table_service_model.Row) -> job_state.Job:
    """Parses the row of an open job.

    Raises:
        errors.ProtocolError: The row is malformed.
    """
    try:
        job = job_state.Job(
            job_id=row.key.rpartition("/")[2],
            spec=parse_spec(row.value["spec"]),
            row_version=row.version,
            reference=row.value["reference"],
            start_mark=int(row.value["started"]),
        )
        if row.value["cancelled"]:
            job.decide_state(jobs_model.CANCELLED, "cancelled")
    except (KeyError, TypeError, ValueError) as error:
        raise errors.ProtocolError(f"row {row.key} is malformed") from error
    return job


def parse_spec(content: Any) -> jobs_model.JobSpec:
    """Parses a job specification from JSON content."""
    fields = dict(content)
    fields["resources"] = model.Resources(**fields["resources"])
    fields["payload"] = base64.b64decode(fields["payload"])
    return jobs_model.JobSpec(**fields)


def close_transaction(
    zone: str, job: job_state.Job, finished_at_ms: int
) -> table_service_model.Transaction:
    """Returns the transaction that moves a job to the closed ones.

    It fails unless the caller knows the latest version of the row.
    """
    key = open_key(zone, job.job_id)
    value = {"status": job.status()._asdict(), "finished_at_ms": finished_at_ms}
    return table_service_model.Transaction(
        checks=(table_service_model.Check(key, job.row_version),),
        puts=(table_service_model.Put(done_key(zone, job.job_id), value),),
        deletes=(key,),
    )


def mark_transaction(
    zone: str, job: job_state.Job, start_mark: int, cancelled: bool
) -> table_service_model.Transaction:
    """Returns the transaction that updates an open job's row."""
    key = open_key(zone, job.job_id)
    value = open_value(job.spec, job.reference, start_mark, cancelled)
    return table_service_model.Transaction(
        checks=(table_service_model.Check(key, job.row_version),),
        puts=(table_service_model.Put(key, value),),
    )


def parse_status(value: Any) -> jobs_model.JobStatus:
    """Parses the status in the row of a closed job.

    Raises:
        errors.ProtocolError: The row is malformed.
    """
    try:
        return jobs_model.JobStatus(**value["status"])
    except (KeyError, TypeError) as error:
        raise errors.ProtocolError("the row of a job is malformed") from error
