"""The command `jobs status`."""

from __future__ import annotations

import typer

from marigoldgap.console import async_runner
from marigoldgap.console import groups
from marigoldgap.console import jobs_output
from marigoldgap.console import options
from marigoldgap.console import registry
from marigoldgap.operators import jobs_client


@registry.command
class JobsStatusCommand:
    """Shows the state of a job."""

    def register(self, application: typer.Typer) -> None:
        """Adds `jobs status` to the application."""
        groups.get_or_add(application, "jobs").command("status")(self.run)

    def run(
        self,
        job_id: str,
        instances: options.Instances = [],  # noqa: B006
        key_file: options.KeyFile = None,
        as_json: options.AsJson = False,
    ) -> None:
        """Show the state of a job and of its tasks."""
        jobs = options.team_client(instances, key_file)
        async_runner.run(jobs, self._show(jobs, job_id, as_json))

    async def _show(
        self, jobs: jobs_client.JobsClient, job_id: str, as_json: bool
    ) -> None:
        status = await jobs.status(job_id)
        jobs_output.print_status(status, as_json)
