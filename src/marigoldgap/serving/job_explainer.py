"""Explains in plain sentences why a job waits or how it ended."""

from __future__ import annotations

from collections.abc import Sequence

from marigoldgap.coordination import jobs_gateway
from marigoldgap.coordination import model as jobs_model


class JobExplainer:
    """Explains jobs; implements `operators.interfaces.JobExplainer`.

    Args:
        gateway: Source of the status of jobs in all zones.
    """

    def __init__(self, gateway: jobs_gateway.JobsGateway) -> None:
        self._gateway = gateway

    async def explain(self, job_id: str) -> Sequence[str]:
        """Returns sentences that describe the status of a job.

        Raises:
            errors.NotFoundError: No job has this id.
        """
        status = await self._gateway.status(job_id)
        sentences = [
            f"Job {status.job_id} of team {status.team} is {status.state}."
        ]
        if status.state not in jobs_model.FINAL_STATES:
            sentences.append(
                f"{status.waiting} of its {status.tasks} tasks wait."
            )
        if status.detail:
            sentences.append(status.detail)
        return sentences
