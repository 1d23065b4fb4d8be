"""Task counts of a group by rack, to spread the tasks over racks."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import itertools


class RackSpread:
    """Counts the tasks of one group per rack.

    Racks without a task of the group are found without a scan, by a cursor into
    the list of all racks and a list of racks whose last task has ended.

    Args:
        start: Selects the first rack, so that groups start at different racks.
    """

    def __init__(self, start: int = 0) -> None:
        self._start = start
        self._counts: dict[str, int] = {}
        self._by_count: dict[int, dict[str, None]] = {}
        self._unused: dict[str, None] = {}
        self._next_after_start: int | None = None
        self._next_wrapped = 0

    @property
    def empty(self) -> bool:
        """Whether the group has no running task."""
        return not self._counts

    def count(self, rack: str) -> int:
        """Returns the number of tasks on the rack."""
        return self._counts.get(rack, 0)

    def adjust(self, rack: str, difference: int) -> None:
        """Changes the number of tasks on the rack by `difference`."""
        before = self._counts.pop(rack, 0)
        if before:
            self._remove_from_count(before, rack)
        after = before + difference
        if after > 0:
            self._counts[rack] = after
            self._by_count.setdefault(after, {})[rack] = None
            self._unused.pop(rack, None)
        elif before:
            self._unused[rack] = None

    def candidates(self, racks: Sequence[str], limit: int) -> list[str]:
        """Returns racks to try, those with the fewest tasks first.

        Args:
            racks: All racks in a stable order; new racks at the end.
            limit: Maximum number of racks to return.
        """
        self._fill_unused(racks, limit)
        ordered = itertools.chain(self._unused, self._used_racks())
        return list(itertools.islice(ordered, limit))

    def postpone(self, rack: str) -> None:
        """Moves an unused rack without capacity behind other unused ones."""
        if rack in self._unused:
            del self._unused[rack]
            self._unused[rack] = None

    def _fill_unused(self, racks: Sequence[str], limit: int) -> None:
        while len(self._unused) < limit:
            position = self._next_position(len(racks))
            if position is None:
                return
            if racks[position] not in self._counts:
                self._unused[racks[position]] = None

    def _next_position(self, count: int) -> int | None:
        """Returns the next position in one cycle over all racks, or None.

        The cycle begins at `_start` and wraps around; racks that are added
        later extend it.
        """
        if count == 0:
            return None
        if self._next_after_start is None:
            self._start %= count
            self._next_after_start = self._start
        if self._next_after_start < count:
            self._next_after_start += 1
            return self._next_after_start - 1
        if self._next_wrapped < self._start:
            self._next_wrapped += 1
            return self._next_wrapped - 1
        return None

    def _used_racks(self) -> Iterator[str]:
        for count in sorted(self._by_count):
            yield from self._by_count[count]

    def _remove_from_count(self, count: int, rack: str) -> None:
        racks = self._by_count[count]
        del racks[rack]
        if not racks:
            del self._by_count[count]
