"""The election row: names the leader of a cell."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.cell import model
from marigoldgap.cell import records
from marigoldgap.cell import store

_log = decision_log.DecisionLogger("election")


class Leader(NamedTuple):
    """Content of the election row: the leader of a cell.

    Attributes:
        epoch: Number of the election.
        instance: Name of the leader.
        address: `ip:port` for calls from its peers.
        is_released: Whether the leader has released its leadership.
        was_obeyed: Whether all workers had accepted its fencing token when it
            released the leadership, so that no earlier leader can start
            anything either.
    """

    epoch: int
    instance: str
    address: str
    is_released: bool
    was_obeyed: bool = False


# Takes the place of a row that cannot be read; an instance may claim the leadership.
_UNKNOWN = Leader(0, "", "", True)


def encode(leader: Leader) -> bytes:
    """Returns the content of the row."""
    return json_object.encode(leader._asdict())


def decode(row: store.Row) -> Leader:
    """Returns the leader; one that has released its leadership if unreadable."""
    try:
        leader = Leader(**records.decode(row.value))
    except (errors.MarigoldgapError, TypeError) as error:
        _log.error("row_unusable", cause=str(error))
        return _UNKNOWN
    is_valid = (
        type(leader.epoch) is int
        and 0 <= leader.epoch <= model.MAX_INTEGER
        and isinstance(leader.instance, str)
        and isinstance(leader.address, str)
        and isinstance(leader.is_released, bool)
        and isinstance(leader.was_obeyed, bool)
    )
    if not is_valid:
        _log.error("row_unusable", cause="a field has another type")
        return _UNKNOWN
    return leader
