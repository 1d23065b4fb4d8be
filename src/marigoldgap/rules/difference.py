"""Line-based differences between two texts that can be applied as patches."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import difflib
from typing import NamedTuple

from marigoldgap import errors
from marigoldgap.rules import lines

# Maximum number of equal line pairs to compare: texts with many repeated lines
# would take minutes and are reported as one change instead.
_MAX_LINE_PAIRS = 1_000_000


class LineChange(NamedTuple):
    """A replacement of consecutive lines of the old text.

    Attributes:
        line: Number of the first replaced line of the old text, from 1; if no
            line is removed, the new lines are inserted before it.
        removed: Replaced lines of the old text.
        added: Lines of the new text.
    """

    line: int
    removed: tuple[str, ...]
    added: tuple[str, ...]


def compare(old: str, new: str) -> tuple[LineChange, ...]:
    """Returns the changes that turn the old text into the new one."""
    before = lines.split(old)
    after = lines.split(new)
    start = _common_prefix_length(before, after)
    end = _common_prefix_length(before[start:][::-1], after[start:][::-1])
    old_lines = before[start : len(before) - end]
    new_lines = after[start : len(after) - end]
    return tuple(
        LineChange(
            start + first + 1,
            tuple(old_lines[first:last]),
            tuple(new_lines[i:j]),
        )
        for first, last, i, j in _changed_ranges(old_lines, new_lines)
    )


def apply(old: str, changes: Iterable[LineChange]) -> str:
    """Applies changes to the old text and returns the new text.

    Raises:
        errors.ConflictError: The changes were computed for another text.
    """
    text = lines.split(old)
    for change in sorted(changes, reverse=True):
        first = change.line - 1
        last = first + len(change.removed)
        if tuple(text[first:last]) != change.removed:
            raise errors.ConflictError(
                f"line {change.line} is not the line that was changed"
            )
        text[first:last] = change.added
    return "\n".join(text)


def first_overlap(
    mine: Sequence[LineChange], theirs: Sequence[LineChange]
) -> LineChange | None:
    """Returns the first change of `theirs` that overlaps a change of `mine`.

    Both sides change the same old text. Returns the first change of `theirs`
    if no changes overlap, and None if `theirs` is empty.
    """
    for change in theirs:
        if any(overlaps(change, other) for other in mine):
            return change
    return theirs[0] if theirs else None


def format_changes(changes: Iterable[LineChange]) -> list[str]:
    """Returns the changes as lines of text, marked with `-` and `+`."""
    result = []
    for change in changes:
        result.append(f"line {change.line}:")
        result += [f"- {line}" for line in change.removed]
        result += [f"+ {line}" for line in change.added]
    return result


def _common_prefix_length(one: Sequence[str], other: Sequence[str]) -> int:
    """Returns the number of equal lines at the beginning."""
    length = 0
    for left, right in zip(one, other, strict=False):
        if left != right:
            break
        length += 1
    return length


def _changed_ranges(
    old: Sequence[str], new: Sequence[str]
) -> list[tuple[int, int, int, int]]:
    """Returns the ranges of old and new lines that differ.

    Each range is (first old, end of old, first new, end of new); the ends are
    exclusive.
    """
    if not old and not new:
        return []
    counts = collections.Counter(new)
    if sum(counts[line] for line in old) > _MAX_LINE_PAIRS:
        return [(0, len(old), 0, len(new))]
    matcher = difflib.SequenceMatcher(None, old, new, autojunk=False)
    return [
        (first, last, i, j)
        for tag, first, last, i, j in matcher.get_opcodes()
        if tag != "equal"
    ]


def overlaps(one: LineChange, other: LineChange) -> bool:
    """Returns whether two changes affect a common line of the old text."""
    one_end = one.line + max(len(one.removed), 1)
    other_end = other.line + max(len(other.removed), 1)
    return one.line < other_end and other.line < one_end
