"""Prints explanations of teams, queues and jobs."""

from __future__ import annotations

from marigoldgap.console import output
from marigoldgap.operators import client


async def print_explanation(
    operators: client.OperatorsClient, kind: str, name: str, as_json: bool
) -> None:
    """Prints the explanation that an instance returns.

    Args:
        operators: Client of the operators' API.
        kind: What to explain: `team`, `queue` or `job`.
        name: Name of the team or queue, or id of the job.
        as_json: Whether to print JSON instead of text.
    """
    explanation = await operators.explain(kind, name)
    if as_json:
        output.print_json(explanation)
    else:
        output.print_lines(explanation["sentences"])
