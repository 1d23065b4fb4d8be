"""Prints explanations of teams, queues and jobs."""

from __future__ import annotations

from marigoldgap.console import output
from marigoldgap.operators import client


async def show(
    operators: client.OperatorsClient, kind: str, name: str, as_json: bool
) -> None:
    """Prints the explanation that an instance gives."""
    explanation = await operators.explain(kind, name)
    if as_json:
        output.values(explanation)
    else:
        output.lines(explanation["sentences"])
