"""Codec for the rows `allowance/<team>` of the table service."""

from __future__ import annotations

from typing import Any

from marigoldgap import errors
from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model
from marigoldgap.table_service import model as table_service_model

PREFIX = "allowance/"


def key_of(team: str) -> str:
    """Returns the key of a team's row."""
    return f"{PREFIX}{team}"


def parse(value: Any) -> allowance_model.AllowanceRow:
    """Parses the value of a row.

    Raises:
        errors.ProtocolError: The value is malformed. The row must not be
            overwritten, since it may hold the allowances of other zones.
    """
    try:
        zones = {str(name): int(n) for name, n in value["zones"].items()}
        terms = {
            str(name): model.Term(int(counter), str(instance_id))
            for name, (counter, instance_id) in value["terms"].items()
        }
        return allowance_model.AllowanceRow(
            limit=int(value["limit"]),
            zones=zones,
            limit_version=int(value["limit_version"]),
            terms=terms,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.ProtocolError("an allowance row is malformed") from error


def transaction_of(
    write: allowance_model.AllowanceWrite,
) -> table_service_model.Transaction:
    """Returns the compare-and-set transaction for a row."""
    key = key_of(write.team)
    value = {
        "limit": write.row.limit,
        "zones": dict(write.row.zones),
        "limit_version": write.row.limit_version,
        "terms": {zone: list(term) for zone, term in write.row.terms.items()},
    }
    return table_service_model.Transaction(
        checks=(table_service_model.Check(key, write.expected_version),),
        puts=(table_service_model.Put(key, value),),
    )
