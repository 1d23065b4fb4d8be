"""The command `jobs cancel`."""

from __future__ import annotations

from typing import Annotated

import typer

from marigoldgap.console import async_runner
from marigoldgap.console import exit_codes
from marigoldgap.console import groups
from marigoldgap.console import options
from marigoldgap.console import output
from marigoldgap.console import registry
from marigoldgap.operators import jobs_client


@registry.command
class JobsCancelCommand:
    """Cancels jobs."""

    def register(self, application: typer.Typer) -> None:
        """Adds `jobs cancel` to the application."""
        groups.get_or_add(application, "jobs").command("cancel")(self.run)

    def run(
        self,
        job_ids: Annotated[list[str] | None, typer.Argument()] = None,
        group: Annotated[
            str, typer.Option(help="Cancel all jobs of this group.")
        ] = "",
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        as_json: options.AsJson = False,
    ) -> None:
        """Cancel jobs by their ids or all jobs of a group."""
        if bool(job_ids) == bool(group):
            raise typer.BadParameter("give either job ids or --group")
        jobs = options.team_client(instances, key_file)
        cancelled = async_runner.run(
            jobs, self._cancel(jobs, job_ids or [], group)
        )
        not_cancelled = sorted(set(job_ids or []) - set(cancelled))
        if as_json:
            output.print_json(
                {"cancelled": cancelled, "not_cancelled": not_cancelled}
            )
        else:
            output.print_lines(f"cancelled {job_id}" for job_id in cancelled)
            output.print_lines(
                f"not cancelled {job_id}: unknown, ended or of another team"
                for job_id in not_cancelled
            )
        if not_cancelled:
            raise typer.Exit(exit_codes.FAILURE)

    async def _cancel(
        self, jobs: jobs_client.JobsClient, job_ids: list[str], group: str
    ) -> list[str]:
        with output.progress("cancelling"):
            return await jobs.cancel(job_ids, group)
