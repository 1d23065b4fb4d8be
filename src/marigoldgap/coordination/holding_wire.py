"""Converts accounts of holdings between messages and the ledger's types."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from marigoldgap.entries import messages
from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model


def to_entry(
    team: str, report: allowance_model.HoldingReport
) -> messages.HoldingEntry:
    """Returns the message form of a report."""
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
    """Returns the message form of the reports of several teams."""
    return tuple(to_entry(team, report) for team, report in reports.items())


def to_reports(
    term: model.Term,
    entries: Iterable[messages.HoldingEntry],
) -> dict[str, allowance_model.HoldingReport]:
    """Returns the ledger's form of the accounts in a message."""
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
    """Returns the message form of a grant."""
    return messages.HoldingGrant(
        term=grant.term,
        incarnation=grant.holder,
        team=grant.team,
        granted_total=grant.granted_total,
        units=grant.units,
    )


def to_grant(message: messages.HoldingGrant) -> allowance_model.HoldingGrant:
    """Returns the ledger's form of a grant message."""
    return allowance_model.HoldingGrant(
        term=message.term,
        team=message.team,
        holder=message.incarnation,
        granted_total=message.granted_total,
        units=message.units,
    )
