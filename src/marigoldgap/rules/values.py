"""Readers of values in rules; each raises ValueError with the reason."""

from __future__ import annotations

from collections.abc import Callable
import math
import re

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_DURATION = re.compile(r"(\d{1,6})(s|m|h|d)")
_PERCENT = re.compile(r"(\d{1,3})%")
_NUMBER = re.compile(r"\d{1,9}(\.\d{1,6})?")
_COUNT = re.compile(r"\d{1,9}")
_SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3_600, "d": 86_400}
_MAX_DURATION_S = 30 * 86_400
_MAX_PERCENT = 100


def name(word: str) -> str:
    """Reads a name of lower-case letters, digits and hyphens."""
    if not _NAME.fullmatch(word):
        raise ValueError(
            f"'{word}' is not a name of lower-case letters, digits and '-'"
        )
    return word


def positive_number(word: str) -> float:
    """Reads a number greater than 0."""
    value = float(word) if _NUMBER.fullmatch(word) else math.nan
    if not value > 0:
        raise ValueError(f"'{word}' is not a number greater than 0")
    return value


def count(lowest: int, highest: int) -> Callable[[str], int]:
    """Returns a reader of whole numbers within inclusive bounds."""

    def read(word: str) -> int:
        value = int(word) if _COUNT.fullmatch(word) else lowest - 1
        if not lowest <= value <= highest:
            raise ValueError(
                f"'{word}' is not a whole number from {lowest} to {highest}"
            )
        return value

    return read


def duration_s(word: str) -> int:
    """Reads a duration such as 90s, 15m, 6h or 2d; returns seconds."""
    match = _DURATION.fullmatch(word)
    if match is None:
        raise ValueError(f"'{word}' is not a duration")
    seconds = int(match.group(1)) * _SECONDS_PER_UNIT[match.group(2)]
    if not 1 <= seconds <= _MAX_DURATION_S:
        raise ValueError(f"'{word}' is not between 1s and 30d")
    return seconds


def percent(word: str) -> int:
    """Reads a percentage such as 10%."""
    match = _PERCENT.fullmatch(word)
    if match is None or int(match.group(1)) > _MAX_PERCENT:
        raise ValueError(f"'{word}' is not a percentage from 0% to 100%")
    return int(match.group(1))
