"""Converts holding accounts between messages and the types of the ledger."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from marigoldgap.entries import messages
from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model


def to_entry(
    team: str, report: allowance_model.HoldingReport
) -> messages.HoldingEntry:
    """Converts the report of a team to its message form."""
    return messages.HoldingEntry(
        team=team,
        sequence=report.sequence,
        granted_total=report.granted_total,
        returned_total=report.returned_total,
        running=report.running,
        orphaned=report.orphaned,
    )


def to_entries(
    reports: Mapping[str, allowance_model.HoldingReport],
) -> tuple[messages.HoldingEntry, ...]:
    """Converts the reports of several teams to their message form."""
    return tuple(to_entry(team, report) for team, report in reports.items())


def to_reports(
    term: model.Term,
    entries: Iterable[messages.HoldingEntry],
) -> dict[str, allowance_model.HoldingReport]:
    """Converts the accounts in a message to reports by team."""
    return {
        entry.team: allowance_model.HoldingReport(
            term=term,
            sequence=entry.sequence,
            granted_total=entry.granted_total,
            returned_total=entry.returned_total,
            running=entry.running,
            orphaned=entry.orphaned,
        )
        for entry in entries
    }


def to_grant_message(
    grant: allowance_model.HoldingGrant,
) -> messages.HoldingGrant:
    """Converts a grant to its message form."""
    return messages.HoldingGrant(
        term=grant.term,
        incarnation=grant.holder,
        team=grant.team,
        granted_total=grant.granted_total,
        units=grant.units,
    )


def to_grant(message: messages.HoldingGrant) -> allowance_model.HoldingGrant:
    """Converts a grant message to a grant."""
    return allowance_model.HoldingGrant(
        term=message.term,
        team=message.team,
        holder=message.incarnation,
        granted_total=message.granted_total,
        units=message.units,
    )
