"""Joins transactions that can be written together."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from marigoldgap.table_service import model


class Member(NamedTuple):
    """A waiting transaction and the future that gets its result."""

    transaction: model.Transaction
    result: asyncio.Future[int]


def row_count(transaction: model.Transaction) -> int:
    """Returns how many different rows a transaction touches."""
    return len(_checked(transaction) | _written(transaction))


def take_batch(waiting: list[Member], max_rows: int) -> list[Member]:
    """Removes the members of the next write from the waiting list.

    Two transactions are not joined if one of them writes a row that the other
    checks or writes, since the second one must see the first one's result.
    Transactions on the same row keep their order.

    Args:
        waiting: Members in order of arrival.
        max_rows: Most rows of all members together.
    """
    batch: list[Member] = []
    rest: list[Member] = []
    touched: set[str] = set()
    written: set[str] = set()
    rows = 0
    for member in waiting:
        own_written = _written(member.transaction)
        own_touched = own_written | _checked(member.transaction)
        joinable = not (own_written & touched or own_touched & written)
        touched |= own_touched
        written |= own_written
        if joinable and rows + len(own_touched) <= max_rows:
            rows += len(own_touched)
            batch.append(member)
        else:
            rest.append(member)
    waiting[:] = rest
    return batch


def join(members: Sequence[Member]) -> model.Transaction:
    """Returns one transaction with the checks and writes of all members."""
    transactions = [member.transaction for member in members]
    checks = [check for each in transactions for check in each.checks]
    return model.Transaction(
        tuple(dict.fromkeys(checks)),
        tuple(put for each in transactions for put in each.puts),
        tuple(key for each in transactions for key in each.deletes),
    )


def split_by_conflict(
    members: Sequence[Member], failed_keys: Sequence[str]
) -> tuple[list[Member], list[Member]]:
    """Separates members that checked a failed row from the others."""
    failed = set(failed_keys)
    culprits = [
        member for member in members if _checked(member.transaction) & failed
    ]
    others = [member for member in members if member not in culprits]
    return culprits, others


def _checked(transaction: model.Transaction) -> set[str]:
    return {check.key for check in transaction.checks}


def _written(transaction: model.Transaction) -> set[str]:
    return {put.key for put in transaction.puts} | set(transaction.deletes)
