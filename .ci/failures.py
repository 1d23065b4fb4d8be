"""Prints the failed tests of a step from the output of that step."""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
import re
import sys

_LINES_SHOWN = 50
_LINE_LENGTH = 200
# Lines of one failed test of behave: its names and its assertion or the end of
# its traceback.
_FIRST_LINES = 4
_LAST_LINES = 5
# Shown if the output has no failure in a known form.
_TAIL_LINES = 20

_BEHAVE_LIST = re.compile(r"(Failing|Errored) scenarios:")
_BEHAVE_FAILURE = re.compile(r"[A-Z_-]*(FAILURE|ERROR)\S* in ")
_BEHAVE_END = re.compile(r"-{80}|[A-Z_-]*(FAILURE|ERROR)\S* in ")
_PYTEST = re.compile(r"E  |(FAILED|ERROR) \S+\.py")
_SOAK_SEED = re.compile(r"seed \d+: .* [1-9]\d* violations")
_SOAK_VIOLATION = re.compile(r"  ")


def failures(lines: list[str]) -> list[str]:
    """Returns the lines that name failed tests and say why they failed."""
    found = [
        *_scenarios(lines),
        *(line for line in lines if _PYTEST.match(line)),
        *_seeds(lines),
    ]
    return found or lines[-_TAIL_LINES:]


def _scenarios(lines: list[str]) -> Iterator[str]:
    for number, line in enumerate(lines):
        if _BEHAVE_LIST.match(line):
            yield from _until(lines, number, re.compile(r"\s*$"))
    for number, line in enumerate(lines):
        if _BEHAVE_FAILURE.match(line):
            block = [
                each
                for each in _until(lines, number, _BEHAVE_END)
                if each.strip(" ^~")
            ]
            yield from block[:_FIRST_LINES]
            yield from block[_FIRST_LINES:][-_LAST_LINES:]


def _seeds(lines: list[str]) -> Iterator[str]:
    for number, line in enumerate(lines):
        if not _SOAK_SEED.match(line):
            continue
        yield line
        for following in lines[number + 1 :]:
            if not _SOAK_VIOLATION.match(following):
                break
            yield following


def _until(lines: list[str], first: int, end: re.Pattern) -> list[str]:
    """Returns the lines from a line to before the next one that matches."""
    block = [lines[first]]
    for line in lines[first + 1 :]:
        if end.match(line):
            break
        block.append(line)
    return block


def main() -> None:
    """Prints the failures in the file that is the only argument."""
    text = pathlib.Path(sys.argv[1]).read_text(errors="replace")
    found = failures(text.splitlines())
    for line in found[:_LINES_SHOWN]:
        print(line[:_LINE_LENGTH])
    if len(found) > _LINES_SHOWN:
        print(f"({len(found) - _LINES_SHOWN} more lines)")


if __name__ == "__main__":
    main()
