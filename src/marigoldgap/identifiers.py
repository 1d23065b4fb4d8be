"""Random identifiers of tasks, jobs and writes."""

from __future__ import annotations

import secrets

_RANDOM_BYTES = 10


def new_token() -> str:
    """Returns a random identifier of 20 hexadecimal digits."""
    return secrets.token_hex(_RANDOM_BYTES)


def new_task_id(prefix: str) -> str:
    """Returns a new task id with the given prefix."""
    return f"{prefix}.{new_token()}"


def new_job_id(zone: str) -> str:
    """Returns a new job id, prefixed with the home zone of the job."""
    return f"{zone}.{new_token()}"


def zone_of_job(job_id: str) -> str:
    """Returns the home zone of a job, or an empty string if it has none."""
    return job_id.rpartition(".")[0]
