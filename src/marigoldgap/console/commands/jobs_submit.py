"""The command `jobs submit`."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap.console import async_runner
from marigoldgap.console import groups
from marigoldgap.console import jobs_output
from marigoldgap.console import options
from marigoldgap.console import registry
from marigoldgap.operators import jobs_client
from marigoldgap.rules import values


@registry.command
class JobsSubmitCommand:
    """Submits a job."""

    def register(self, application: typer.Typer) -> None:
        """Adds `jobs submit` to the application."""
        groups.get_or_add(application, "jobs").command("submit")(self.run)

    def run(
        self,
        queue: str,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        tasks: Annotated[int, typer.Option(min=1)] = 1,
        gang: Annotated[
            bool, typer.Option(help="All tasks run at once or none does.")
        ] = False,
        slots: Annotated[int, typer.Option(min=1)] = 1,
        millicores: Annotated[int, typer.Option(min=0)] = 0,
        memory_mib: Annotated[int, typer.Option(min=0)] = 0,
        accelerators: Annotated[int, typer.Option(min=0)] = 0,
        expected_run: Annotated[
            str | None, typer.Option(help="E.g. 90s, 15m or 6h.")
        ] = None,
        deadline: Annotated[
            str | None, typer.Option(help="Latest start, e.g. 6h from now.")
        ] = None,
        urgent: bool = False,
        idempotent: Annotated[
            bool,
            typer.Option(help="Whether a task may run again after a fault."),
        ] = True,
        group: Annotated[
            str, typer.Option(help="Name to cancel jobs together.")
        ] = "",
        payload_file: Annotated[
            pathlib.Path | None, typer.Option(help="Text for each task.")
        ] = None,
        as_json: options.AsJson = False,
    ) -> None:
        """Submit a job to a queue and print its id."""
        job: jobs_client.JobRequest = {
            "queue": queue,
            "tasks": tasks,
            "gang": gang,
            "resources": {
                "slots": slots,
                "millicores": millicores,
                "memory_mib": memory_mib,
                "accelerators": accelerators,
            },
            "urgent": urgent,
            "idempotent": idempotent,
            "group": group,
            "payload": _read_payload(payload_file),
        }
        if expected_run is not None:
            job["expected_run_ms"] = _milliseconds(expected_run)
        if deadline is not None:
            job["deadline_ms"] = _milliseconds(deadline)
        jobs = options.team_client(instances, key_file)
        async_runner.run(jobs, self._submit(jobs, job, as_json))

    async def _submit(
        self,
        jobs: jobs_client.JobsClient,
        job: jobs_client.JobRequest,
        as_json: bool,
    ) -> None:
        status = await jobs.submit(job)
        jobs_output.print_status(status, as_json)


def _milliseconds(text: str) -> int:
    try:
        return values.duration_s(text) * clock.MILLISECONDS_PER_SECOND
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error


def _read_payload(path: pathlib.Path | None) -> str:
    if path is None:
        return ""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidRequestError(
            f"{path} cannot be read: {error}"
        ) from error
