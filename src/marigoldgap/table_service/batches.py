"""Merges independent transactions into batches for group commit."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from marigoldgap.table_service import model


class Member(NamedTuple):
    """A queued transaction and the future that receives its result."""

    transaction: model.Transaction
    result: asyncio.Future[int]


def row_count(transaction: model.Transaction) -> int:
    """Returns the number of distinct rows that a transaction touches."""
    return len(_checked(transaction) | _written(transaction))


def take_batch(waiting: list[Member], max_rows: int) -> list[Member]:
    """Removes and returns the members of the next write.

    Two transactions are not joined if one of them writes a row that the other
    checks or writes: the later one must see the result of the earlier one.
    Transactions on the same row keep their order.

    Args:
        waiting: Queued members in order of arrival; the batch is removed.
        max_rows: Maximum total number of rows in the batch.
    """
    batch: list[Member] = []
    remaining: list[Member] = []
    touched: set[str] = set()
    written: set[str] = set()
    rows = 0
    for member in waiting:
        member_written = _written(member.transaction)
        member_touched = member_written | _checked(member.transaction)
        joinable = not (member_written & touched or member_touched & written)
        touched |= member_touched
        written |= member_written
        if joinable and rows + len(member_touched) <= max_rows:
            rows += len(member_touched)
            batch.append(member)
        else:
            remaining.append(member)
    waiting[:] = remaining
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
    """Splits members into those that checked a failed row and the rest."""
    failed = set(failed_keys)
    conflicting = [
        member for member in members if _checked(member.transaction) & failed
    ]
    others = [member for member in members if member not in conflicting]
    return conflicting, others


def _checked(transaction: model.Transaction) -> set[str]:
    return {check.key for check in transaction.checks}


def _written(transaction: model.Transaction) -> set[str]:
    return {put.key for put in transaction.puts} | set(transaction.deletes)
